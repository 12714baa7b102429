/* Claim before send, for a request that must run at most once, with crashes,
 * lost and late answers, resends and expiry: source/common/control/claim_store.*,
 * session/operation_queue.* and gateway/query_executor.*.
 * See docs/design/model.md.
 *
 * One request. The caller submits it up to SUBMISSIONS times, to any gateway;
 * when it submits again it has given up on the submission before. A crash of a
 * gateway ends its submissions, whose messages stay under way. The claim store
 * is one register: replication.pml shows that it is never lost.
 *
 * Bounds: SUBMISSIONS and EXPIRY. Mutations: see spec/check.
 */

#define SUBMISSIONS 4
#define EXPIRY 2 /* state time at which the claim may be forgotten */
#define SENDS 2  /* per submission: the second one after a sure "not run" */

#ifdef ONLY
#define CHECKED(property) (ONLY == property)
#else
#define CHECKED(property) true
#endif
#define AT_MOST_ONCE 1
#define NOT_RUN_TRUE 2

bool at_most_once = true;
bool not_run_true = true;

/* --- The replicated state -------------------------------------------------- */

#define UNKNOWN 0 /* also: may have run */
#define NOT_RUN 1
#define RAN 2

byte state_time;
byte claimant; /* name of the attempt that holds the claim; 0: none */
byte outcome;  /* as recorded */

/* --- Submissions ------------------------------------------------------------ */

#define NONE 0
#define CLAIMING 1
#define SENDING 2 /* holds the grant, nothing is under way */
#define RUNNING 3 /* sent, waits for the back end */
#define ENDED 4

#define GRANTED 1
#define CLAIMED 2 /* by another attempt, without an outcome */
#define CLAIMED_NOT_RUN 3
#define CLAIMED_RAN 4
#define EXPIRED 5

typedef Submission {
  byte phase;
  bool crashed;
  byte name;     /* claimant and attempt number */
  bool claim_sent;
  byte reply;    /* to the claim, under way; 0: none */
  byte sends;
  bool at_backend; /* a subquery is under way or waits there */
  byte result;   /* the back end's answer, under way; 0: none */
  byte record;   /* the outcome, under way to control; 0: none */
  bool denied    /* the caller was told "not run" after this was submitted */
};
Submission submission[SUBMISSIONS + 1]; /* 0 is not used */
byte submitted;

byte runs;

/* Scratch; zero between the steps. */
byte x;

#define S(s) submission[s]

/* --- Caller ----------------------------------------------------------------- */

#ifdef MUTATION_SENDS_BEFORE_CLAIM
#define FIRST_PHASE SENDING
#else
#define FIRST_PHASE CLAIMING
#endif
/* A start of a gateway numbers its attempts, and has a number of its own. */
#ifdef MUTATION_REUSES_ATTEMPT
#define NAME(s) (S(s - 1).crashed -> S(s - 1).name : s)
#else
#define NAME(s) s
#endif
#define SUBMIT(s) \
  d_step { \
    submitted == s - 1 -> \
    submitted = s; \
    S(s).phase = FIRST_PHASE; \
    S(s).name = NAME(s); \
    S(s).claim_sent = true; \
  }

/* The caller is told "not run": true only if nothing ran, and nothing that was
 * submitted so far runs later. It hears only its latest submission. */
#define SAY_NOT_RUN(s) \
  if \
  :: s == submitted -> \
       not_run_true = (runs == 0); \
       assert(not_run_true || !CHECKED(NOT_RUN_TRUE)); \
       x = 1; \
       do \
       :: x <= submitted -> S(x).denied = true; x++ \
       :: else -> break \
       od; \
       x = 0; \
       not_run_true = true \
  :: else \
  fi

/* --- Control ---------------------------------------------------------------- */

#ifdef MUTATION_FORGETS_BEFORE_EXPIRY
#define FORGOTTEN (state_time + 1 >= EXPIRY)
#else
#define FORGOTTEN (state_time >= EXPIRY)
#endif
#ifdef MUTATION_GRANTS_EACH_ATTEMPT
#define IS_CLAIMANT(s) true
#else
#define IS_CLAIMANT(s) (claimant == S(s).name)
#endif

/* ClaimStore::Claim. The command may be applied again (it was sent again), and
 * every reply may be lost. */
#define CLAIM_ARRIVES(s) \
  d_step { \
    S(s).claim_sent -> \
    if \
    :: state_time >= EXPIRY -> S(s).reply = EXPIRED \
    :: state_time < EXPIRY && claimant == 0 -> \
         claimant = S(s).name; \
         S(s).reply = GRANTED \
    :: state_time < EXPIRY && claimant != 0 && IS_CLAIMANT(s) -> \
         S(s).reply = GRANTED \
    :: else -> S(s).reply = CLAIMED + outcome \
    fi; \
    IGNORE_REPLY_UNLESS_CLAIMING(s); \
  }

/* ClaimStore::RecordOutcome */
#define RECORD_ARRIVES(s) \
  d_step { \
    S(s).record != 0 -> \
    if \
    :: claimant == S(s).name && outcome == UNKNOWN -> outcome = S(s).record \
    :: else \
    fi; \
    S(s).record = 0; \
  }

/* ClaimStore::Expire */
#define TIME_PASSES \
  d_step { \
    state_time < EXPIRY -> \
    state_time++; \
    if \
    :: FORGOTTEN -> claimant = 0; outcome = UNKNOWN \
    :: else \
    fi; \
  }

#ifdef MUTATION_LEADER_LOSES_CLAIM
#define CHANGE_LEADER :: d_step { claimant != 0 -> claimant = 0; outcome = 0 }
#else
#define CHANGE_LEADER
#endif

/* --- Gateways --------------------------------------------------------------- */

#define IGNORE_REPLY_UNLESS_CLAIMING(s) \
  if \
  :: S(s).phase != CLAIMING -> S(s).reply = 0 \
  :: else \
  fi

#define END(s) \
  S(s).phase = ENDED; \
  S(s).reply = 0; \
  S(s).result = 0

#ifdef MUTATION_SAYS_NOT_RUN_WHEN_CLAIMED
#define CLAIMED_ANSWER(s) SAY_NOT_RUN(s)
#else
#define CLAIMED_ANSWER(s) skip
#endif
#ifdef MUTATION_SAYS_NOT_RUN_WHEN_EXPIRED
#define EXPIRED_ANSWER(s) SAY_NOT_RUN(s)
#else
#define EXPIRED_ANSWER(s) skip
#endif

/* QueryExecutor::OnClaimReply */
#define CLAIM_REPLY(s) \
  d_step { \
    (S(s).phase == CLAIMING && S(s).reply != 0) -> \
    if \
    :: S(s).reply == GRANTED -> S(s).phase = SENDING; S(s).reply = 0 \
    :: S(s).reply == CLAIMED -> CLAIMED_ANSWER(s); END(s) \
    :: S(s).reply == CLAIMED_NOT_RUN -> SAY_NOT_RUN(s); END(s) \
    :: S(s).reply == CLAIMED_RAN -> END(s) \
    :: S(s).reply == EXPIRED -> EXPIRED_ANSWER(s); END(s) \
    fi; \
  }

/* The deadline passes while the outcome of the claim is unknown. A resend must
 * not say "not run" then. */
#ifdef MUTATION_SAYS_NOT_RUN_ON_RESEND
#define UNCLAIMED_SAYS_NOT_RUN(s) true
#else
#define UNCLAIMED_SAYS_NOT_RUN(s) (s == 1)
#endif
#define CLAIM_TIMES_OUT(s) \
  d_step { \
    S(s).phase == CLAIMING -> \
    if \
    :: UNCLAIMED_SAYS_NOT_RUN(s) -> SAY_NOT_RUN(s) \
    :: else \
    fi; \
    END(s); \
  }

/* QueryExecutor::OnGranted after the deadline, or when the caller is gone; and
 * the end of a run whose every subquery was surely not run. */
#define REFUSE(s) \
  d_step { \
    S(s).phase == SENDING -> \
    S(s).record = NOT_RUN; \
    SAY_NOT_RUN(s); \
    END(s); \
  }

#define SEND(s) \
  d_step { \
    (S(s).phase == SENDING && S(s).sends < SENDS) -> \
    S(s).sends++; \
    S(s).at_backend = true; \
    S(s).phase = RUNNING; \
  }

/* The back end runs the subquery, or refuses it unrun, or never gets it. */
#define BACKEND_RUNS(s) \
  d_step { \
    S(s).at_backend -> \
    S(s).at_backend = false; \
    runs++; \
    at_most_once = (runs <= 1); \
    assert(at_most_once || !CHECKED(AT_MOST_ONCE)); \
    not_run_true = !S(s).denied; \
    assert(not_run_true || !CHECKED(NOT_RUN_TRUE)); \
    not_run_true = true; \
    if \
    :: S(s).phase == RUNNING -> S(s).result = RAN \
    :: else \
    fi; \
  }
#define BACKEND_REFUSES(s) \
  d_step { \
    S(s).at_backend -> \
    S(s).at_backend = false; \
    if \
    :: S(s).phase == RUNNING -> S(s).result = NOT_RUN \
    :: else \
    fi; \
  }

#define RESULT_ARRIVES(s) \
  d_step { \
    (S(s).phase == RUNNING && S(s).result != 0) -> \
    if \
    :: S(s).result == RAN -> S(s).record = RAN; END(s) \
    :: S(s).result == NOT_RUN -> S(s).result = 0; S(s).phase = SENDING \
    fi; \
  }

/* No answer in time: it may have run, and is not sent again. */
#ifdef MUTATION_SAYS_NOT_RUN_AFTER_SEND
#define UNANSWERED(s) SAY_NOT_RUN(s); END(s)
#else
#ifdef MUTATION_RETRIES_UNKNOWN
#define UNANSWERED(s) S(s).phase = SENDING
#else
#define UNANSWERED(s) END(s)
#endif
#endif
#define RESULT_TIMES_OUT(s) \
  d_step { \
    S(s).phase == RUNNING -> \
    UNANSWERED(s); \
  }

#define CRASH(s) \
  d_step { \
    (S(s).phase != NONE && !S(s).crashed) -> \
    S(s).crashed = true; \
    END(s); \
  }

#define STEPS(s) \
  :: SUBMIT(s) :: CLAIM_ARRIVES(s) :: RECORD_ARRIVES(s) :: CLAIM_REPLY(s) \
  :: CLAIM_TIMES_OUT(s) :: REFUSE(s) :: SEND(s) :: BACKEND_RUNS(s) \
  :: BACKEND_REFUSES(s) :: RESULT_ARRIVES(s) :: RESULT_TIMES_OUT(s) :: CRASH(s)

init {
end:
  do
  STEPS(1)
  STEPS(2)
  STEPS(3)
  STEPS(4)
  :: TIME_PASSES
  CHANGE_LEADER
  od
}
