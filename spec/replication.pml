/* Replication of the log with leader change: votes, terms, log matching and the
 * commit rule of source/common/raft/. See docs/design/model.md.
 *
 * Network: a message, once sent, may arrive any number of times, in any order,
 * or never. What leaders sent is kept per term (sent_*); an answer takes effect
 * whenever the step that needs it is taken.
 * Storage: a node's change is synced before its answer leaves, so both are one
 * step. A leader's appends leave before its own sync. A crash loses the role,
 * the commit index and what is not synced.
 *
 * Bounds: NODES, TERMS and ENTRIES, which the list of steps at the end spells
 * out. Mutations: see spec/check.
 */

#define NODES 3
#define QUORUM 2
#define TERMS 4
#define ENTRIES 2

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

#define NOBODY 255

/* With ONLY_X defined, only the property X is checked, so that a mutation shows
 * the very property that it breaks. */
#ifdef ONLY
#define CHECKED(property) (ONLY == property)
#else
#define CHECKED(property) true
#endif
#define ELECTION_SAFETY 1
#define LOG_MATCHING 2
#define LEADER_COMPLETENESS 3
#define STATE_MACHINE_SAFETY 4

byte term[NODES];
byte voted_for[NODES] = NOBODY;
byte role[NODES];
byte granted[NODES]; /* bit set of the voters of a candidate */
byte commit[NODES];
byte length[NODES];
/* How much of the log is synced: less than all only for a leader's own appends,
 * which leave before its own sync. */
byte synced[NODES];

/* Terms of the entries; an entry is known by its index and term. */
typedef Log { byte entry[ENTRIES] };
Log log[NODES];

/* What the leader of a term has sent so far: its log and its commit index. */
Log sent_log[TERMS + 1];
byte sent_length[TERMS + 1];
byte sent_commit[TERMS + 1];
byte leader_of[TERMS + 1] = NOBODY;

/* A leader's knowledge of its peers' logs; meaningless while not leading. */
typedef Match { byte index[NODES] };
Match match[NODES];

/* Observer: the term of each committed entry (0: none yet), and the term in
 * which it was committed. */
byte committed[ENTRIES];
byte committed_in[ENTRIES];

bool election_safety = true;
bool log_matching = true;
bool leader_completeness = true;
bool state_machine_safety = true;

/* Scratch; zero between the steps. */
byte w, x, y, z;
byte to, in_term, after, carries, tells;

#define LAST_TERM(n) (length[n] == 0 -> 0 : log[n].entry[length[n] - 1])
#define UP_TO_DATE(candidate, voter) \
  (LAST_TERM(candidate) > LAST_TERM(voter) || \
   (LAST_TERM(candidate) == LAST_TERM(voter) && \
    length[candidate] >= length[voter]))
#define BIT(n) (1 << (n))
#define COUNT(bits) (((bits) & 1) + (((bits) >> 1) & 1) + (((bits) >> 2) & 1))

#define ENTER_TERM(n, t) \
  term[n] = t; \
  voted_for[n] = NOBODY; \
  STOP(n); \
  FORGET_SENT

/* Reduction: what was sent in a term that every node has left is received by
 * nobody any more, and no leader can come of it. */
#define FORGET_SENT \
  w = 1; \
  do \
  :: w < TERMS && term[0] > w && term[1] > w && term[2] > w -> \
       leader_of[w] = NOBODY; \
       sent_length[w] = 0; \
       sent_commit[w] = 0; \
       sent_log[w].entry[0] = 0; \
       sent_log[w].entry[1] = 0; \
       w++ \
  :: else -> break \
  od; \
  w = 0

#define STOP(n) \
  role[n] = FOLLOWER; \
  granted[n] = 0; \
  match[n].index[0] = 0; \
  match[n].index[1] = 0; \
  match[n].index[2] = 0

/* Fsm::StartElection. Reduction: at first all nodes are alike, so that node 0
 * may be the first one to start an election. */
#define START_ELECTION(n) \
  d_step { \
    (role[n] != LEADER && term[n] < TERMS && (n == 0 || term[0] > 0)) -> \
    ENTER_TERM(n, term[n] + 1); \
    voted_for[n] = n; \
    synced[n] = length[n]; \
    role[n] = CANDIDATE; \
    granted[n] = BIT(n); \
  }

/* Fsm::HandleVote: `candidate`'s request reaches `voter`. */
#ifdef MUTATION_VOTES_FOR_SHORT_LOG
#define MAY_WIN(candidate, voter) true
#else
#define MAY_WIN(candidate, voter) UP_TO_DATE(candidate, voter)
#endif
#define VOTE(candidate, voter) \
  d_step { \
    (role[candidate] == CANDIDATE && term[candidate] >= term[voter] && \
     !(granted[candidate] & BIT(voter))) -> \
    if \
    :: term[candidate] > term[voter] -> ENTER_TERM(voter, term[candidate]) \
    :: else \
    fi; \
    if \
    :: (voted_for[voter] == NOBODY || voted_for[voter] == candidate) && \
       MAY_WIN(candidate, voter) -> \
         voted_for[voter] = candidate; \
         synced[voter] = length[voter]; \
         granted[candidate] = granted[candidate] | BIT(voter) \
    :: else \
    fi; \
  }

/* Observer of LEADER_COMPLETENESS: the new leader holds all that was committed
 * in earlier terms. */
#define CHECK_COMPLETENESS(n) \
  x = 0; \
  do \
  :: x < ENTRIES -> \
       if \
       :: committed[x] != 0 && committed_in[x] < term[n] && \
          (length[n] <= x || log[n].entry[x] != committed[x]) -> \
            leader_completeness = false \
       :: else \
       fi; \
       x++ \
  :: else -> break \
  od; \
  x = 0; \
  assert(leader_completeness || !CHECKED(LEADER_COMPLETENESS))

#define APPEND_OWN(n) \
  log[n].entry[length[n]] = term[n]; \
  length[n]++; \
  sent_log[term[n]].entry[length[n] - 1] = term[n]; \
  sent_length[term[n]] = length[n]

/* Fsm::BecomeLeader; where the bound allows it, with the entry of its term. */
#define BECOME_LEADER(n) \
  d_step { \
    (role[n] == CANDIDATE && COUNT(granted[n]) >= QUORUM) -> \
    if \
    :: leader_of[term[n]] != NOBODY && leader_of[term[n]] != n -> \
         election_safety = false \
    :: else -> leader_of[term[n]] = n \
    fi; \
    assert(election_safety || !CHECKED(ELECTION_SAFETY)); \
    CHECK_COMPLETENESS(n); \
    STOP(n); \
    role[n] = LEADER; \
    x = 0; \
    do \
    :: x < length[n] -> sent_log[term[n]].entry[x] = log[n].entry[x]; x++ \
    :: else -> break \
    od; \
    x = 0; \
    sent_length[term[n]] = length[n]; \
    if \
    :: length[n] < ENTRIES -> APPEND_OWN(n) \
    :: else \
    fi; \
  }

/* Fsm::Propose */
#define PROPOSE(n) \
  d_step { \
    (role[n] == LEADER && length[n] < ENTRIES) -> \
    APPEND_OWN(n); \
  }

/* Observer of LOG_MATCHING: equal index and term mean equal logs up to there. */
#define CHECK_MATCHING(a, b) \
  x = 0; \
  do \
  :: x < length[a] && x < length[b] -> \
       if \
       :: log[a].entry[x] == log[b].entry[x] -> \
            y = 0; \
            do \
            :: y < x -> \
                 if \
                 :: log[a].entry[y] != log[b].entry[y] -> log_matching = false \
                 :: else \
                 fi; \
                 y++ \
            :: else -> break \
            od; \
            y = 0 \
       :: else \
       fi; \
       x++ \
  :: else -> break \
  od; \
  x = 0

/* Observer of STATE_MACHINE_SAFETY: `n` applies up to its commit index. */
#define APPLY(n) \
  x = 0; \
  do \
  :: x < commit[n] -> \
       if \
       :: committed[x] == 0 -> \
            committed[x] = log[n].entry[x]; \
            committed_in[x] = term[n] \
       :: committed[x] != 0 && committed[x] != log[n].entry[x] -> \
            state_machine_safety = false \
       :: else \
       fi; \
       x++ \
  :: else -> break \
  od; \
  x = 0; \
  assert(state_machine_safety || !CHECKED(STATE_MACHINE_SAFETY))

/* Fsm::HandleAppend: the append of a term, with the entry after a previous one
 * (or none: a heartbeat) and a commit index, reaches a node. */
#ifdef MUTATION_SKIPS_PREVIOUS_CHECK
#define FOLLOWS(n, t, previous) true
#else
#define FOLLOWS(n, t, previous) \
  ((previous) == 0 || \
   (length[n] >= (previous) && \
    log[n].entry[(previous) - 1] == sent_log[t].entry[(previous) - 1]))
#endif
#ifdef MUTATION_COMMITS_PAST_APPEND
#define COMMIT_LIMIT(n, last_new) length[n]
#else
#define COMMIT_LIMIT(n, last_new) (last_new)
#endif
#define MAY_APPEND(n, t, previous, entries, told) \
  :: leader_of[t] != NOBODY && leader_of[t] != n && term[n] <= t && \
     sent_length[t] >= (previous) + (entries) && sent_commit[t] >= told -> \
       to = n; in_term = t; after = previous; carries = entries; tells = told

#define APPENDS_TOLD(n, t, told) \
  MAY_APPEND(n, t, 0, 1, told) MAY_APPEND(n, t, 1, 1, told) \
  MAY_APPEND(n, t, 0, 0, told) MAY_APPEND(n, t, 1, 0, told) \
  MAY_APPEND(n, t, 2, 0, told)
#define APPENDS(n, t) \
  APPENDS_TOLD(n, t, 0) APPENDS_TOLD(n, t, 1) APPENDS_TOLD(n, t, 2)
#define EACH_APPEND(t) APPENDS(0, t) APPENDS(1, t) APPENDS(2, t)

#define SENDER leader_of[in_term]

inline append() {
  atomic {
    if
    EACH_APPEND(1)
    EACH_APPEND(2)
    EACH_APPEND(3)
    EACH_APPEND(4)
    fi;
    d_step {
      if
      :: term[to] < in_term -> ENTER_TERM(to, in_term)
      :: else -> STOP(to)
      fi;
      if
      :: after >= commit[to] && length[to] >= after &&
         FOLLOWS(to, in_term, after) ->
           if
           :: carries == 1 && (length[to] <= after ||
              log[to].entry[after] != sent_log[in_term].entry[after]) ->
                /* truncate behind, and append */
                x = after + 1;
                do
                :: x < length[to] -> log[to].entry[x] = 0; x++
                :: else -> break
                od;
                log[to].entry[after] = sent_log[in_term].entry[after];
                length[to] = after + 1;
                CHECK_MATCHING(to, (to + 1) % NODES);
                CHECK_MATCHING(to, (to + 2) % NODES);
                assert(log_matching || !CHECKED(LOG_MATCHING))
           :: else
           fi;
           synced[to] = length[to];
           z = after + carries;
           y = (tells < COMMIT_LIMIT(to, z) -> tells : COMMIT_LIMIT(to, z));
           if
           :: y > commit[to] -> commit[to] = y; APPLY(to)
           :: else
           fi;
           if
           :: role[SENDER] == LEADER && term[SENDER] == in_term &&
              match[SENDER].index[to] < z ->
                match[SENDER].index[to] = z
           :: else
           fi
      :: else
      fi;
      x = 0; y = 0; z = 0;
      to = 0; in_term = 0; after = 0; carries = 0; tells = 0;
    }
  }
}

/* Fsm::Persisted: the leader's own entries are synced. */
#define SYNC(n) \
  d_step { \
    synced[n] < length[n] -> \
    synced[n] = length[n]; \
  }

/* Fsm::CommitByQuorum: the leader commits `index`. */
#ifdef MUTATION_COMMITS_EARLIER_TERM
#define OWN_TERM(n, index) true
#else
#define OWN_TERM(n, index) (log[n].entry[(index) - 1] == term[n])
#endif
#ifdef MUTATION_COUNTS_UNSYNCED
#define OWN_COPY(n) length[n]
#else
#define OWN_COPY(n) synced[n]
#endif
#define COMMIT(n, at) \
  d_step { \
    (role[n] == LEADER && length[n] >= (at) && commit[n] < (at) && \
     OWN_TERM(n, at) && \
     (OWN_COPY(n) >= (at)) + (n != 0 && match[n].index[0] >= (at)) + \
     (n != 1 && match[n].index[1] >= (at)) + \
     (n != 2 && match[n].index[2] >= (at)) >= QUORUM) -> \
    commit[n] = at; \
    sent_commit[term[n]] = at; \
    APPLY(n); \
  }

/* The process ends and starts again from its disk. */
#ifdef MUTATION_FORGETS_VOTE
#define LOSE_AT_CRASH(n) voted_for[n] = NOBODY
#else
#ifdef MUTATION_LOSES_SYNCED_TAIL
#define LOSE_AT_CRASH(n) \
  if \
  :: length[n] > 0 -> \
       length[n]--; \
       log[n].entry[length[n]] = 0; \
       synced[n] = length[n] \
  :: else \
  fi
#else
#define LOSE_AT_CRASH(n) skip
#endif
#endif
#define CRASH(n) \
  d_step { \
    (role[n] != FOLLOWER || commit[n] > 0 || synced[n] < length[n]) -> \
    STOP(n); \
    commit[n] = 0; \
    x = synced[n]; \
    do \
    :: x < length[n] -> log[n].entry[x] = 0; x++ \
    :: else -> break \
    od; \
    x = 0; \
    length[n] = synced[n]; \
    LOSE_AT_CRASH(n); \
  }

#define EACH_NODE(step) :: step(0) :: step(1) :: step(2)
#define VOTES \
  :: VOTE(0, 1) :: VOTE(0, 2) :: VOTE(1, 0) :: VOTE(1, 2) :: VOTE(2, 0) \
  :: VOTE(2, 1)
#define COMMITS(n) :: COMMIT(n, 1) :: COMMIT(n, 2)
init {
end:
  do
  EACH_NODE(START_ELECTION)
  VOTES
  EACH_NODE(BECOME_LEADER)
  EACH_NODE(PROPOSE)
  EACH_NODE(SYNC)
  EACH_NODE(CRASH)
  COMMITS(0)
  COMMITS(1)
  COMMITS(2)
  :: append()
  od
}
