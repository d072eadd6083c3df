// The floor of a daemon without a disk, and deltas between daemons. Three
// replicas commit versions. Only a replica that has stored every committed
// version becomes leader (checked in versions.pml), and it answers reads only
// after it has committed in its own term. A restarted daemon has no state.
// Checked: no daemon uses a version below one that its instance used before;
// the content in use belongs to the version number in use.
// broken: NO_FLOOR a restarted daemon uses the first version it receives
// broken: COMMITTED_OF_MAJORITY the floor is the higher view of two replicas
// broken: REPLICA_NOT_CAUGHT_UP the floor is the view of one fixed replica
// broken: NEW_LEADER_READS_AT_ONCE a leader reads before it commits in its term
// broken: ANSWER_OF_FORMER_PROCESS a floor read before the restart is used
// broken: DELTA_WRONG_BASE a delta is applied to a version other than its base
#define REPLICAS 3
#define DAEMONS 1
#define VERSIONS 2
#define NONE 255

byte synced[REPLICAS];    // last version in the synced log
byte committed = 0;       // highest version ever synced on a majority
byte known[REPLICAS];     // view: highest version known there as committed
byte leader = 0;
bool leader_ready = true; // has committed in its own term

byte received[DAEMONS];   // number of the latest version received
byte content[DAEMONS];    // its content; content n belongs to number n
byte in_use[DAEMONS];     // number of the version in use
byte used_ever[DAEMONS];  // highest number this instance ever used
bool floor_known[DAEMONS];
byte floor[DAEMONS];
byte answer[DAEMONS] = NONE;     // floor in transit to the daemon
byte delta_base[DAEMONS] = NONE; // base of the delta in transit to the daemon
byte delta_to[DAEMONS];          // target version of that delta

#define MAX(a, b) ((a) > (b) -> (a) : (b))

inline commit_at_leader() {
  // Committed: synced at the leader and one other replica.
  if
  :: synced[leader] == MAX(synced[(leader + 1) % 3], synced[(leader + 2) % 3]) ->
     known[leader] = synced[leader];
     committed = MAX(committed, synced[leader]);
     leader_ready = true
  fi
}

active proctype Replicas() {
  byte r;
end:
  do
  :: atomic { leader_ready && synced[leader] < VERSIONS -> synced[leader]++ }
  :: atomic { synced[leader] == MAX(synced[(leader + 1) % 3], synced[(leader + 2) % 3]) -> commit_at_leader() }
  :: atomic { select(r : 0 .. 2); synced[r] = synced[leader] }
  :: atomic { select(r : 0 .. 2); known[r] = MAX(known[r], (known[leader] < synced[r] -> known[leader] : synced[r])) }
  :: atomic {
       select(r : 0 .. 2);
       if
       :: r != leader && synced[r] >= committed -> leader = r; leader_ready = false
       :: else -> skip
       fi
     }
  od
}

inline activate(d) {
  if
  :: floor_known[d] && received[d] >= floor[d] && received[d] > in_use[d] ->
     assert(received[d] >= used_ever[d]);
     assert(content[d] == received[d]);
     in_use[d] = received[d];
     used_ever[d] = received[d]
  :: else -> skip
  fi
}

inline ask_floor(d) {
#if defined(NO_FLOOR)
  answer[d] = 0
#elif defined(COMMITTED_OF_MAJORITY)
  select(r : 0 .. 2);
  answer[d] = MAX(known[r], known[(r + 1) % 3])
#elif defined(REPLICA_NOT_CAUGHT_UP)
  answer[d] = known[1]
#elif defined(NEW_LEADER_READS_AT_ONCE)
  answer[d] = known[leader]
#else
  if
  :: leader_ready -> answer[d] = known[leader]
  :: else -> skip
  fi
#endif
}

proctype Daemon(byte d) {
  byte r;
end:
  do
  :: atomic { !floor_known[d] && answer[d] == NONE -> ask_floor(d) }
  :: atomic { !floor_known[d] && answer[d] != NONE ->
       floor[d] = answer[d]; floor_known[d] = true; answer[d] = NONE; activate(d) }
  // Full documents and deltas, which may be delayed, come from peers that have
  // a version that some replica knows to be committed.
  :: atomic { select(r : 0 .. 2); known[r] > received[d] ->
       received[d] = known[r]; content[d] = known[r]; activate(d) }
  :: atomic { select(r : 0 .. 2); delta_base[d] == NONE && known[r] > received[d] ->
       delta_base[d] = received[d]; delta_to[d] = known[r] }
  :: atomic { delta_base[d] != NONE ->
       if
#ifdef DELTA_WRONG_BASE
       :: delta_to[d] > received[d] ->
#else
       :: delta_to[d] > received[d] && delta_base[d] == received[d] ->
#endif
          content[d] = content[d] + delta_to[d] - delta_base[d];
          received[d] = delta_to[d];
          activate(d)
       :: else -> skip
       fi;
       delta_base[d] = NONE }
  // The daemon restarts and loses its state.
  :: atomic { in_use[d] > 0 ->
       received[d] = 0; content[d] = 0; in_use[d] = 0;
       floor_known[d] = false; floor[d] = 0; delta_base[d] = NONE;
#ifndef ANSWER_OF_FORMER_PROCESS
       answer[d] = NONE
#endif
     }
#ifdef ANSWER_OF_FORMER_PROCESS
  :: atomic { answer[d] == NONE && leader_ready -> answer[d] = known[leader] }
#endif
  od
}

init {
  atomic {
    run Daemon(0)
  }
}
