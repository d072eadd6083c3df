// The replicated log of configuration versions, one version at a time: three
// replicas, a vote and a log each, messages read straight from the sender's
// synced state. A crash drops what is not synced. One replica may lose its
// disk and come back as a new member, after which a second one is lost.
// Checked: the committed version is never lost, no number is given to two
// patches, at most one leader in a term.
// broken: VOTE_BEFORE_SYNC a vote is answered before it is synced
// broken: OLD_IDENTITY a wiped replica votes on under its old identity
// broken: COUNTED_EARLY a repaired replica counts before it has caught up
// broken: ACK_BEFORE_SYNC an entry is acknowledged before it is synced
#define N 3
#define TERMS 3
#define NONE 9

byte term[N], voted[N];             // synced
byte log_term[N], log_value[N];     // one entry, synced; value 0: none
bool up[N], member[N];              // member: its vote counts
bool learner[N];                    // new identity, not yet promoted
byte votes[N];                      // bit set of votes a candidate holds
bool leads[N];
byte led_by[4];                     // term -> leader + 1
byte match[N];                      // bit set of who acknowledged the entry
byte accepted = 0;                  // value that was told to an operator
byte losses = 0, crashes = 0;

#define BIT(i) (1 << (i))
#define COUNT(s) (((s) & 1) + (((s) >> 1) & 1) + (((s) >> 2) & 1))
#define MEMBERS (member[0] + member[1] + member[2])
#define QUORUM (MEMBERS / 2 + 1)

inline clear_role(i) { votes[i] = 0; leads[i] = false; match[i] = 0 }

inline follow(i, t) {
  if
  :: t > term[i] -> term[i] = t; voted[i] = NONE; clear_role(i)
  :: else
  fi
}

// A replica stands in a new term.
inline stand(i) {
  atomic {
    up[i] && member[i] && !learner[i] && !leads[i] && term[i] < TERMS ->
    clear_role(i); term[i]++; voted[i] = i; votes[i] = BIT(i)
  }
}

// v answers candidate c.
inline vote(v, c) {
  atomic {
    up[v] && up[c] && v != c && votes[c] != 0 && !leads[c] &&
    (term[c] > term[v] || (term[c] == term[v] && voted[v] == NONE)) &&
    (log_term[c] >= log_term[v]) ->
    follow(v, term[c]);
#ifdef VOTE_BEFORE_SYNC
    if
    :: voted[v] = c
    :: crashes < 1 -> crashes++; clear_role(v)   // crash: the vote is forgotten
    fi;
#else
    voted[v] = c;
#endif
    if
    :: member[v] && !learner[v] -> votes[c] = votes[c] | BIT(v)
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
    // An entry of an earlier term goes on under the new one, as a leader's
    // empty entry commits all before it.
    if
    :: log_value[c] != 0 -> log_term[c] = term[c]
    :: else
    fi
  }
}

// The leader takes a patch; its value names the patch.
inline propose(l) {
  atomic {
    up[l] && leads[l] && log_value[l] == 0 ->
    log_value[l] = l + 1; log_term[l] = term[l]; match[l] = BIT(l)
  }
}

// f takes the leader's entry, syncs it and acknowledges it.
inline replicate(l, f) {
  atomic {
    up[l] && up[f] && l != f && leads[l] && log_value[l] != 0 &&
    term[l] >= term[f] && !(match[l] & BIT(f)) ->
    follow(f, term[l]);
    if
    :: voted[f] == NONE -> voted[f] = l
    :: else
    fi;
#ifdef ACK_BEFORE_SYNC
    if
    :: log_value[f] = log_value[l]; log_term[f] = log_term[l]
    :: crashes < 1 -> crashes++                  // crash: the entry is gone
    fi;
#else
    log_value[f] = log_value[l]; log_term[f] = log_term[l];
#endif
    match[l] = match[l] | BIT(f)
  }
}

inline count_members(s, result) {
  result = (member[0] && !learner[0] && (s & 1)) +
           (member[1] && !learner[1] && (s & 2)) +
           (member[2] && !learner[2] && (s & 4))
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

// The first loss empties a disk; the second one, after the repair, is for good.
inline lose_disk(i) {
  atomic {
    losses == 0 && up[i] ->
    losses = 1; clear_role(i);
    term[i] = 0; voted[i] = NONE; log_term[i] = 0; log_value[i] = 0;
    lost = i;
#ifndef OLD_IDENTITY
    learner[i] = true;
    // The old identity counts until the leader has replaced it.
#endif
  }
}

// The leader replaces the old identity; the removal needs the others' majority.
inline replace(l) {
  atomic {
    lost != NONE && learner[lost] && member[lost] && up[l] && leads[l] &&
    l != lost && up[3 - l - lost] && term[3 - l - lost] <= term[l] ->
    other = 3 - l - lost;
    // Committed by both that stay, who then hold the leader's entry.
    follow(other, term[l]);
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

inline promote(l) {
  atomic {
    lost != NONE && learner[lost] && !member[lost] && up[l] && leads[l] &&
#ifndef COUNTED_EARLY
    (log_value[l] == 0 || (match[l] & BIT(lost))) && term[lost] == term[l] &&
#endif
    up[lost] ->
    member[lost] = true; learner[lost] = false
  }
}

inline lose_second(i) {
  atomic {
    losses == 1 && lost != NONE && !learner[lost] && i != lost && up[i] ->
    losses = 2; up[i] = false; clear_role(i)
  }
}

// Term and leader reach a follower without an entry (heartbeat).
inline heartbeat(l, f) {
  atomic {
    up[l] && up[f] && l != f && leads[l] && term[l] > term[f] ->
    follow(f, term[l]); voted[f] = l
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
       :: stand(i)
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
