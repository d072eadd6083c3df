// The floor of a daemon without a disk, and deltas between daemons. Three
// replicas commit versions; a leader is elected among those that hold every
// committed version (checked elsewhere) and reads only after it has committed
// in its own term. Daemons restart and forget everything.
// Checked: no daemon uses a number below one that its instance used before;
// the content in use is that of its number.
// broken: NO_FLOOR a restarted daemon uses the first version it hears of
// broken: COMMITTED_OF_MAJORITY the floor is the highest of two replicas' views
// broken: REPLICA_NOT_CAUGHT_UP the floor is the view of one replica alone
// broken: NEW_LEADER_READS_AT_ONCE a leader reads before it commits in its term
// broken: ANSWER_OF_FORMER_PROCESS a floor read before the restart is taken
// broken: DELTA_WRONG_BASE a delta is applied to another base than its own
#define REPLICAS 3
#define DAEMONS 1
#define VERSIONS 2
#define NONE 255

byte synced[REPLICAS];    // last version in the log
byte committed = 0;       // synced on a majority, ever
byte known[REPLICAS];     // what a replica knows as committed
byte leader = 0;
bool leader_ready = true; // has committed in its own term

byte held[DAEMONS];       // number of the latest version held
byte content[DAEMONS];    // of that version; content n belongs to number n
byte in_use[DAEMONS];
byte used_ever[DAEMONS];  // highest number this instance ever used
bool floor_known[DAEMONS];
byte floor[DAEMONS];
byte answer[DAEMONS] = NONE;     // floor on its way to the daemon
byte delta_base[DAEMONS] = NONE; // delta on its way to the daemon
byte delta_to[DAEMONS];

#define MAX(a, b) ((a) > (b) -> (a) : (b))

inline commit_at_leader() {
  // Committed: the leader and one other replica hold it.
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
  :: floor_known[d] && held[d] >= floor[d] && held[d] > in_use[d] ->
     assert(held[d] >= used_ever[d]);
     assert(content[d] == held[d]);
     in_use[d] = held[d];
     used_ever[d] = held[d]
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
  // Whole documents and late deltas come from peers that hold what some
  // replica knows as committed.
  :: atomic { select(r : 0 .. 2); known[r] > held[d] ->
       held[d] = known[r]; content[d] = known[r]; activate(d) }
  :: atomic { select(r : 0 .. 2); delta_base[d] == NONE && known[r] > held[d] ->
       delta_base[d] = held[d]; delta_to[d] = known[r] }
  :: atomic { delta_base[d] != NONE ->
       if
#ifdef DELTA_WRONG_BASE
       :: delta_to[d] > held[d] ->
#else
       :: delta_to[d] > held[d] && delta_base[d] == held[d] ->
#endif
          content[d] = content[d] + delta_to[d] - delta_base[d];
          held[d] = delta_to[d];
          activate(d)
       :: else -> skip
       fi;
       delta_base[d] = NONE }
  // A restart.
  :: atomic { in_use[d] > 0 ->
       held[d] = 0; content[d] = 0; in_use[d] = 0;
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
