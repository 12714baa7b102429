/* Leases, the in-force and the released watermark, and the hand-over of a back
 * end from one gateway to another: source/common/control/lease_table.*,
 * session/session_state.* and owner/ownership_tracker.*.
 * See docs/design/model.md.
 *
 * Two gateways of one zone own one back end by turns: the owner at revision r is
 * gateway r % 2. Time moves in steps; a lease lasts LEASE steps. A gateway has
 * one heartbeat, or the answer to it, under way; either may be lost or arrive at
 * any later time, also under a later leader.
 *
 * Gateways know a watermark as soon as it is announced. Nothing a gateway may do
 * is forbidden by knowing more, so that this allows the most.
 *
 * Bounds: REVISIONS, TERMS and LEASE. Mutations: see spec/check.
 */

#define GATEWAYS 2
#define REVISIONS 2 /* the highest one */
#define TERMS 2     /* leaders */
#define LEASE 2

#ifdef ONLY
#define CHECKED(property) (ONLY == property)
#else
#define CHECKED(property) true
#endif
#define IN_FORCE_TRUE 1
#define RELEASED_TRUE 2
#define ONE_OWNER 3

bool in_force_true = true;
bool released_true = true;
bool one_owner = true;

/* --- The replicated state, and the leader's lease table ------------------- */

byte revision;
byte leader_term = 1;
byte start_revision;
byte in_force;
byte zone_released;

typedef Lease {
  byte left; /* 0: none */
  byte confirmed;
  byte released
};
Lease lease[GATEWAYS];

/* The highest watermarks that any leader announced. */
byte announced_in_force;
byte announced_released;

/* --- The gateways --------------------------------------------------------- */

typedef Gateway {
  byte view; /* revision in use */
  byte left; /* of the lease, on its own clock; 0: none */
  bool of_this_term; /* this leader has answered it */
  byte since; /* revision to be released before use; 0 when not the owner */
  bool letting_go;
  byte let_go_before; /* last revision that was no reason to let go */
  byte skipped_to;    /* revision of a view that skipped some; 0: none */
  byte skipped_from;
  bool running /* letting go, and what it began may run on */
};
Gateway gateway[GATEWAYS];

/* The heartbeat that is under way, or the answer to it. */
#define NOTHING 0
#define HEARTBEAT 1
#define ANSWER 2
typedef Message {
  byte kind;
  byte age; /* since the heartbeat was sent */
  byte confirmed;
  byte released;
  bool of_this_term;
  bool holds_lease;
  bool granted /* ANSWER */
};
Message message[GATEWAYS];

/* Scratch; zero between the steps. */
byte x;

#define OWNS(g, at) ((at) % 2 == g)
#define LEASED(g) (gateway[g].left > 0)

/* OwnershipTracker::AccessTo */
#ifdef MUTATION_USES_BEFORE_RELEASED
#define RELEASED_FOR(g) true
#else
#define RELEASED_FOR(g) (announced_released >= gateway[g].since)
#endif
#define OPEN(g) \
  (LEASED(g) && OWNS(g, gateway[g].view) && RELEASED_FOR(g) && \
   !gateway[g].letting_go)

/* OwnershipTracker::released */
#ifdef MUTATION_RELEASES_WHILE_RUNNING
#define HELD_BACK(g) gateway[g].view
#else
#define HELD_BACK(g) \
  (gateway[g].letting_go && gateway[g].let_go_before < gateway[g].view -> \
     gateway[g].let_go_before : gateway[g].view)
#endif
#define RELEASED(g) \
  (gateway[g].skipped_to != 0 && gateway[g].skipped_from < HELD_BACK(g) -> \
     gateway[g].skipped_from : HELD_BACK(g))

/* Whoever may use the back end is taken to use it all the time. */
#define IN_USE(g) (OPEN(g) || gateway[g].running)

/* What is announced holds for every gateway with a lease. */
#define CHECK \
  in_force_true = \
    (!LEASED(0) || gateway[0].view >= announced_in_force) && \
    (!LEASED(1) || gateway[1].view >= announced_in_force); \
  assert(in_force_true || !CHECKED(IN_FORCE_TRUE)); \
  released_true = \
    (!LEASED(0) || RELEASED(0) >= announced_released) && \
    (!LEASED(1) || RELEASED(1) >= announced_released); \
  assert(released_true || !CHECKED(RELEASED_TRUE)); \
  one_owner = !(IN_USE(0) && IN_USE(1)); \
  assert(one_owner || !CHECKED(ONE_OWNER)); \
  in_force_true = true; \
  released_true = true; \
  one_owner = true

/* OwnershipTracker::OnLeaseLost. `since` starts anew with the next lease. */
#define LOSE_LEASE(g) \
  CUT_OFF(g); \
  gateway[g].since = 0; \
  gateway[g].letting_go = false; \
  gateway[g].let_go_before = 0; \
  gateway[g].skipped_to = 0; \
  gateway[g].skipped_from = 0
#ifdef MUTATION_RUNS_PAST_LEASE
#define CUT_OFF(g) gateway[g].running = IN_USE(g)
#else
#define CUT_OFF(g) gateway[g].running = false
#endif

/* Reduction: a revision that is released already need not be remembered, nor
 * one that is set anew with the next lease. */
#define SETTLE_SINCE(g) \
  if \
  :: gateway[g].since <= announced_released || !LEASED(g) -> \
       gateway[g].since = 0 \
  :: else \
  fi

/* --- Steps ---------------------------------------------------------------- */

#define CHANGE \
  d_step { revision < REVISIONS -> revision++ }

/* OwnershipTracker::OnView, after the session took the view: it may skip. */
#ifdef MUTATION_IGNORES_SKIPS
#define SKIPS(g, to) false
#else
#define SKIPS(g, to) (LEASED(g) && to != gateway[g].view + 1)
#endif
#define TAKE(g, to) \
  d_step { \
    (gateway[g].view < to && to <= revision) -> \
    if \
    :: SKIPS(g, to) && to > announced_in_force && gateway[g].skipped_to == 0 -> \
         gateway[g].skipped_to = to; \
         gateway[g].skipped_from = gateway[g].view \
    :: else \
    fi; \
    if \
    :: OWNS(g, to) && !OWNS(g, gateway[g].view) -> gateway[g].since = to \
    :: OWNS(g, to) && OWNS(g, gateway[g].view) && !OPEN(g) && SKIPS(g, to) -> \
         gateway[g].since = to \
    :: !OWNS(g, to) && OWNS(g, gateway[g].view) -> \
         if \
         :: OPEN(g) -> gateway[g].running = true \
         :: else \
         fi; \
         gateway[g].since = 0; \
         if \
         :: !gateway[g].letting_go -> \
              gateway[g].letting_go = true; \
              gateway[g].let_go_before = gateway[g].view \
         :: else \
         fi \
    :: else \
    fi; \
    gateway[g].view = to; \
    SETTLE_SINCE(g); \
    CHECK; \
  }

/* OwnershipTracker::OnLetGo: what ran has ended. */
#define LET_GO(g) \
  d_step { \
    gateway[g].letting_go -> \
    gateway[g].letting_go = false; \
    gateway[g].let_go_before = 0; \
    gateway[g].running = false; \
  }

/* SessionState::SendHeartbeat; one that was under way is lost. */
#define SEND_HEARTBEAT(g) \
  d_step { \
    FORGET_MESSAGE(g); \
    message[g].kind = HEARTBEAT; \
    message[g].confirmed = gateway[g].view; \
    message[g].released = RELEASED(g); \
    message[g].of_this_term = gateway[g].of_this_term; \
    message[g].holds_lease = LEASED(g); \
  }

#define FORGET_MESSAGE(g) \
  message[g].kind = NOTHING; \
  message[g].age = 0; \
  message[g].confirmed = 0; \
  message[g].released = 0; \
  message[g].of_this_term = false; \
  message[g].holds_lease = false; \
  message[g].granted = false

/* LeaseTable::MayGrant */
#ifdef MUTATION_GRANTS_TO_ANY
#define MAY_GRANT(g) true
#else
#define MAY_GRANT(g) \
  (message[g].confirmed >= in_force && \
   message[g].confirmed >= start_revision && \
   message[g].released >= zone_released && \
   message[g].released >= start_revision)
#endif

/* LeaseTable::OnHeartbeat */
#define HEARTBEAT_ARRIVES(g) \
  d_step { \
    message[g].kind == HEARTBEAT -> \
    message[g].kind = ANSWER; \
    x = (lease[g].left > 0 && message[g].holds_lease); \
    if \
    :: (x && message[g].of_this_term) || MAY_GRANT(g) -> \
         message[g].granted = true; \
         lease[g].left = LEASE \
    :: else \
    fi; \
    if \
    :: lease[g].left > 0 -> \
         lease[g].confirmed = \
           (message[g].confirmed > lease[g].confirmed -> \
              message[g].confirmed : lease[g].confirmed); \
         lease[g].released = \
           (message[g].released > lease[g].released -> \
              message[g].released : lease[g].released) \
    :: else \
    fi; \
    message[g].of_this_term = true; \
    message[g].confirmed = 0; \
    message[g].released = 0; \
    message[g].holds_lease = false; \
    if \
    :: message[g].granted -> skip \
    :: !message[g].granted && x -> message[g].age = 0 /* kNewTerm */ \
    :: else -> FORGET_MESSAGE(g) /* kBehind changes nothing */ \
    fi; \
    x = 0; \
  }

/* SessionState::OnHeartbeatReply; the lease counts from when the heartbeat was
 * sent. */
#ifdef MUTATION_COUNTS_FROM_ANSWER
#define LEASE_LEFT(g) LEASE
#else
#define LEASE_LEFT(g) (LEASE - message[g].age)
#endif
#define ANSWER_ARRIVES(g) \
  d_step { \
    message[g].kind == ANSWER -> \
    gateway[g].of_this_term = message[g].of_this_term; \
    if \
    :: message[g].granted && LEASE_LEFT(g) > gateway[g].left -> \
         if \
         :: gateway[g].left == 0 && OWNS(g, gateway[g].view) -> \
              /* OwnershipTracker::OnLeaseGained */ \
              gateway[g].since = gateway[g].view \
         :: else \
         fi; \
         gateway[g].left = LEASE_LEFT(g); \
         SETTLE_SINCE(g) \
    :: else \
    fi; \
    FORGET_MESSAGE(g); \
    CHECK; \
  }

/* LeaseTable::Advance. Without any lease a watermark follows the revision at its
 * own pace (settled_revision_); here at any pace. */
#define LEAST(field) \
  (lease[0].left == 0 -> lease[1].field : \
   (lease[1].left == 0 -> lease[0].field : \
    (lease[0].field < lease[1].field -> lease[0].field : lease[1].field)))
#define ANY_LEASE (lease[0].left > 0 || lease[1].left > 0)

#define ADVANCE(watermark, field, announced) \
  d_step { \
    (watermark < revision && (!ANY_LEASE || LEAST(field) > watermark)) -> \
    if \
    :: ANY_LEASE -> watermark = LEAST(field) \
    :: else -> watermark++ \
    fi; \
    if \
    :: watermark > announced -> announced = watermark \
    :: else \
    fi; \
    FORGET_SKIP(0); \
    FORGET_SKIP(1); \
    SETTLE_SINCE(0); \
    SETTLE_SINCE(1); \
    CHECK; \
  }

/* OwnershipTracker::OnInForce */
#define FORGET_SKIP(g) \
  if \
  :: gateway[g].skipped_to <= announced_in_force -> \
       gateway[g].skipped_to = 0; \
       gateway[g].skipped_from = 0 \
  :: else \
  fi

/* LeaseTable::Start of another leader. The one before grants nothing after its
 * own lease of the consensus group has ended. */
#ifdef MUTATION_NEW_LEADER_KNOWS_NO_LEASE
#define FIRST_LEASE 0
#else
#define FIRST_LEASE LEASE
#endif
#define ELECT \
  d_step { \
    leader_term < TERMS -> \
    leader_term++; \
    start_revision = revision; \
    in_force = 0; \
    zone_released = 0; \
    NEW_LEASE(0); \
    NEW_LEASE(1); \
  }
#define NEW_LEASE(g) \
  lease[g].left = FIRST_LEASE; \
  lease[g].confirmed = 0; \
  lease[g].released = 0; \
  gateway[g].of_this_term = false; \
  message[g].of_this_term = false

#define AGE_MESSAGE(g) \
  if \
  :: message[g].kind == HEARTBEAT && message[g].age < LEASE || \
     message[g].granted && message[g].age < LEASE -> message[g].age++ \
  :: else \
  fi

#define TICK_GATEWAY(g) \
  AGE_MESSAGE(g); \
  if \
  :: gateway[g].left > 0 -> \
       gateway[g].left--; \
       if \
       :: gateway[g].left == 0 -> LOSE_LEASE(g) \
       :: else \
       fi \
  :: else \
  fi; \
  if \
  :: lease[g].left > 0 -> \
       lease[g].left--; \
       if \
       :: lease[g].left == 0 -> lease[g].confirmed = 0; lease[g].released = 0 \
       :: else \
       fi \
  :: else \
  fi
#define TICK \
  d_step { \
    TICK_GATEWAY(0); \
    TICK_GATEWAY(1); \
  }

#define EACH_GATEWAY(step) :: step(0) :: step(1)
#define TAKES(g) :: TAKE(g, 1) :: TAKE(g, 2)

init {
end:
  do
  :: CHANGE
  TAKES(0)
  TAKES(1)
  EACH_GATEWAY(LET_GO)
  EACH_GATEWAY(SEND_HEARTBEAT)
  EACH_GATEWAY(HEARTBEAT_ARRIVES)
  EACH_GATEWAY(ANSWER_ARRIVES)
  :: ADVANCE(in_force, confirmed, announced_in_force)
  :: ADVANCE(zone_released, released, announced_released)
  :: ELECT
  :: TICK
  od
}
