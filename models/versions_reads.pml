// Reads through a leader that may be isolated. A leader answers a read only
// after a majority has confirmed its leadership in a round started after the
// request.
// Checked: an answer is never older than the version that was accepted last
// when the read was requested.
// broken: STALE_READ the leader answers without a round
// broken: OLD_ROUND confirmations from before the request count
#define N 3

byte term[N];
byte synced[N];        // last version synced at each replica
byte leader_term[N];   // term in which a replica believes it leads; 0: none
byte accepted = 0;     // last version synced at a majority
byte accepted_before = 0; // accepted at the time when the read was requested
byte read_at = 9;      // replica that received the read; 9: none pending
byte confirmed = 0;    // 1: another replica has confirmed the leadership
byte readers_term = 0; // term of that confirmation

inline elect(i, v) {
  atomic {
    i != v && term[i] < 4 && synced[i] >= synced[v] && term[i] + 1 > term[v] ->
    term[i]++; term[v] = term[i]; leader_term[i] = term[i];
    leader_term[v] = 0;
    if
    :: read_at == v || read_at == i -> read_at = 9; confirmed = 0
    :: else
    fi
  }
}

// Leader l and follower f sync the next version, which is thereby accepted.
inline accept(l, f) {
  atomic {
    l != f && leader_term[l] != 0 && leader_term[l] == term[l] &&
    term[f] <= term[l] && accepted < 3 && synced[l] >= accepted ->
    term[f] = term[l]; leader_term[f] = 0;
    if
    :: read_at == f -> read_at = 9; confirmed = 0
    :: else
    fi;
    synced[l] = accepted + 1; synced[f] = synced[l]; accepted = synced[l]
  }
}

inline ask(l) {
  atomic {
    read_at == 9 && leader_term[l] != 0 ->
    read_at = l; accepted_before = accepted;
#ifndef OLD_ROUND
    confirmed = 0
#endif
  }
}

inline confirm(l, f) {
  atomic {
    l != f && leader_term[l] != 0 && term[f] <= leader_term[l] &&
#ifndef OLD_ROUND
    read_at == l ->
#else
    true ->
#endif
    term[f] = leader_term[l]; confirmed = 1; readers_term = leader_term[l]
  }
}

inline answer(l) {
  atomic {
    read_at == l &&
#ifdef STALE_READ
    true ->
#else
    confirmed == 1 && readers_term == leader_term[l] ->
#endif
    assert(synced[l] >= accepted_before);
    read_at = 9; confirmed = 0
  }
}

active proctype Group() {
  byte i, j;
  do
  :: atomic {
       select(i : 0 .. 2); select(j : 0 .. 2);
       if
       :: elect(i, j)
       :: accept(i, j)
       :: ask(i)
       :: confirm(i, j)
       :: answer(i)
       :: else -> skip
       fi;
       i = 0; j = 0
     }
  :: true -> break
  od
}
