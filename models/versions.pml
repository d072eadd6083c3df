// The replicated log of configuration versions, limited to one entry: three
// replicas, each with a vote and a log. Messages are modelled as reads of the
// sender's synced state. A crash loses what is not synced. One replica may lose
// its disk and return as a new member, after which another one may be lost.
// Checked: a committed version is never lost; no version number is assigned to
// two patches; there is at most one leader per term.
// broken: VOTE_BEFORE_SYNC a replica replies to a vote request before the sync
// broken: OLD_IDENTITY a wiped replica keeps voting under its old identity
// broken: COUNTED_EARLY a repaired replica votes before it has caught up
// broken: ACK_BEFORE_SYNC an entry is acknowledged before it is synced
#define N 3
#define TERMS 3
#define NONE 9

byte term[N], voted[N];             // synced
byte log_term[N], log_value[N];     // the entry, synced; value 0: none
bool up[N], member[N];              // member: counted in the quorum size
bool non_voter[N];                  // new identity, not yet promoted
byte votes[N];                      // bit set of votes a candidate received
bool leads[N];
byte led_by[4];                     // term -> leader + 1
byte match[N];                      // bit set: the leader and who acknowledged
byte accepted = 0;                  // value acknowledged to an operator
byte losses = 0, crashes = 0;

#define BIT(i) (1 << (i))
#define COUNT(s) (((s) & 1) + (((s) >> 1) & 1) + (((s) >> 2) & 1))
#define MEMBERS (member[0] + member[1] + member[2])
#define QUORUM (MEMBERS / 2 + 1)

inline clear_role(i) { votes[i] = 0; leads[i] = false; match[i] = 0 }

inline adopt_term(i, t) {
  if
  :: t > term[i] -> term[i] = t; voted[i] = NONE; clear_role(i)
  :: else
  fi
}

// Replica i becomes a candidate in a new term.
inline start_election(i) {
  atomic {
    up[i] && member[i] && !non_voter[i] && !leads[i] && term[i] < TERMS ->
    clear_role(i); term[i]++; voted[i] = i; votes[i] = BIT(i)
  }
}

// Replica v votes for candidate c.
inline vote(v, c) {
  atomic {
    up[v] && up[c] && v != c && votes[c] != 0 && !leads[c] &&
    (term[c] > term[v] || (term[c] == term[v] && voted[v] == NONE)) &&
    (log_term[c] >= log_term[v]) ->
    adopt_term(v, term[c]);
#ifdef VOTE_BEFORE_SYNC
    if
    :: voted[v] = c
    :: crashes < 1 -> crashes++; clear_role(v)   // crash: the vote is lost
    fi;
#else
    voted[v] = c;
#endif
    if
    :: member[v] && !non_voter[v] -> votes[c] = votes[c] | BIT(v)
    :: else
    fi
  }
}

inline win(c) {
  atomic {
    up[c] && !leads[c] && COUNT(votes[c]) >= QUORUM && voted[c] == c ->
    assert(led_by[term[c]] == 0 || led_by[term[c]] == c + 1);
    led_by[term[c]] = c + 1;
    leads[c] = true; match[c] = BIT(c);
    // An entry of an earlier term gets the new term. This stands for the empty
    // entry of a new leader, which commits all entries before it.
    if
    :: log_value[c] != 0 -> log_term[c] = term[c]
    :: else
    fi
  }
}

// Leader l appends a patch. The value l + 1 identifies the patch.
inline propose(l) {
  atomic {
    up[l] && leads[l] && log_value[l] == 0 ->
    log_value[l] = l + 1; log_term[l] = term[l]; match[l] = BIT(l)
  }
}

// Replica f stores and syncs the entry of leader l and acknowledges it.
inline replicate(l, f) {
  atomic {
    up[l] && up[f] && l != f && leads[l] && log_value[l] != 0 &&
    term[l] >= term[f] && !(match[l] & BIT(f)) ->
    adopt_term(f, term[l]);
    if
    :: voted[f] == NONE -> voted[f] = l
    :: else
    fi;
#ifdef ACK_BEFORE_SYNC
    if
    :: log_value[f] = log_value[l]; log_term[f] = log_term[l]
    :: crashes < 1 -> crashes++                  // crash: the entry is lost
    fi;
#else
    log_value[f] = log_value[l]; log_term[f] = log_term[l];
#endif
    match[l] = match[l] | BIT(f)
  }
}

inline count_members(s, result) {
  result = (member[0] && !non_voter[0] && (s & 1)) +
           (member[1] && !non_voter[1] && (s & 2)) +
           (member[2] && !non_voter[2] && (s & 4))
}

inline commit(l) {
  atomic {
    up[l] && leads[l] && log_value[l] != 0 ->
    count_members(match[l], count);
    if
    :: count >= QUORUM ->
      assert(accepted == 0 || accepted == log_value[l]);
      accepted = log_value[l]
    :: else
    fi
  }
}

inline crash(i) {
  atomic { up[i] && crashes < 2 -> crashes++; up[i] = false; clear_role(i) }
}

inline restart(i) { atomic { !up[i] && losses < 2 -> up[i] = true } }

// The first loss wipes a disk; the second one, after the repair, is permanent.
inline lose_disk(i) {
  atomic {
    losses == 0 && up[i] ->
    losses = 1; clear_role(i);
    term[i] = 0; voted[i] = NONE; log_term[i] = 0; log_value[i] = 0;
    lost = i;
#ifndef OLD_IDENTITY
    non_voter[i] = true;
    // The old identity counts in the quorum size until the leader replaces it.
#endif
  }
}

// The leader removes the old identity. The removal must be committed by the two
// remaining replicas.
inline replace(l) {
  atomic {
    lost != NONE && non_voter[lost] && member[lost] && up[l] && leads[l] &&
    l != lost && up[3 - l - lost] && term[3 - l - lost] <= term[l] ->
    other = 3 - l - lost;
    // Both remaining replicas have then stored the leader's entry.
    adopt_term(other, term[l]);
    if
    :: voted[other] == NONE -> voted[other] = l
    :: else
    fi;
    log_term[other] = log_term[l]; log_value[other] = log_value[l];
    match[l] = (match[l] | BIT(other)) & ~BIT(lost);
    member[lost] = false;
    votes[0] = votes[0] & ~BIT(lost); votes[1] = votes[1] & ~BIT(lost);
    votes[2] = votes[2] & ~BIT(lost)
  }
}

// The leader gives the repaired replica, now caught up, its vote.
inline promote(l) {
  atomic {
    lost != NONE && non_voter[lost] && !member[lost] && up[l] && leads[l] &&
#ifndef COUNTED_EARLY
    (log_value[l] == 0 || (match[l] & BIT(lost))) && term[lost] == term[l] &&
#endif
    up[lost] ->
    member[lost] = true; non_voter[lost] = false
  }
}

inline lose_second(i) {
  atomic {
    losses == 1 && lost != NONE && !non_voter[lost] && i != lost && up[i] ->
    losses = 2; up[i] = false; clear_role(i)
  }
}

// Replica f learns term and leader from a heartbeat, which carries no entry.
inline heartbeat(l, f) {
  atomic {
    up[l] && up[f] && l != f && leads[l] && term[l] > term[f] ->
    adopt_term(f, term[l]); voted[f] = l
  }
}

active proctype Group() {
  byte lost = NONE, other, count, i, j;
  atomic {
    for (i : 0 .. 2) { up[i] = true; member[i] = true; voted[i] = NONE }
  }
  do
  :: atomic {
       select(i : 0 .. 2); select(j : 0 .. 2);
       if
       :: start_election(i)
       :: vote(i, j)
       :: win(i)
       :: propose(i)
       :: replicate(i, j)
       :: commit(i)
       :: crash(i)
       :: restart(i)
       :: lose_disk(i)
       :: replace(i)
       :: promote(i)
       :: lose_second(i)
       :: heartbeat(i, j)
       :: else -> skip
       fi;
       i = 0; j = 0; count = 0; other = 0
     }
  :: true -> break
  od
}
