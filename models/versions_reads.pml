// Reads through a leader that may be cut off. A leader answers only after a
// majority confirmed, in a round begun after the question, that it still leads.
// Checked: an answer never is older than what had been accepted when the
// question was asked.
// broken: STALE_READ the leader answers without a round
// broken: OLD_ROUND confirmations from before the question count
#define N 3

byte term[N];
byte held[N];          // version each replica holds, synced
byte leader_term[N];   // term in which a replica believes to lead; 0: none
byte accepted = 0;
byte asked = 0;        // accepted when the question was asked
byte asked_at = 9;
byte confirmed = 0;
byte readers_term = 0;

inline elect(i, v) {
  atomic {
    i != v && term[i] < 4 && held[i] >= held[v] && term[i] + 1 > term[v] ->
    term[i]++; term[v] = term[i]; leader_term[i] = term[i];
    leader_term[v] = 0;
    if
    :: asked_at == v || asked_at == i -> asked_at = 9; confirmed = 0
    :: else
    fi
  }
}

// The leader's next version is synced by one follower and thus accepted.
inline accept(l, f) {
  atomic {
    l != f && leader_term[l] != 0 && leader_term[l] == term[l] &&
    term[f] <= term[l] && accepted < 3 && held[l] >= accepted ->
    term[f] = term[l]; leader_term[f] = 0;
    if
    :: asked_at == f -> asked_at = 9; confirmed = 0
    :: else
    fi;
    held[l] = accepted + 1; held[f] = held[l]; accepted = held[l]
  }
}

inline ask(l) {
  atomic {
    asked_at == 9 && leader_term[l] != 0 ->
    asked_at = l; asked = accepted;
#ifndef OLD_ROUND
    confirmed = 0
#endif
  }
}

inline confirm(l, f) {
  atomic {
    l != f && leader_term[l] != 0 && term[f] <= leader_term[l] &&
#ifndef OLD_ROUND
    asked_at == l ->
#else
    true ->
#endif
    term[f] = leader_term[l]; confirmed = 1; readers_term = leader_term[l]
  }
}

inline answer(l) {
  atomic {
    asked_at == l &&
#ifdef STALE_READ
    true ->
#else
    confirmed == 1 && readers_term == leader_term[l] ->
#endif
    assert(held[l] >= asked);
    asked_at = 9; confirmed = 0
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
