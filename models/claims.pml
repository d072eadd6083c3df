// Requests that run at most once. A caller sends one request with one key
// through two owners at the same time, which may die at any step. The ledger
// applies commands in one order, but each may be delayed, applied twice and
// its answer lost. An owner with no answer burns its attempt before it says
// "not run"; a burnt attempt is never granted, however late its claim comes.
// Checked: the key runs at most once, and an attempt of which "not run" was
// said never runs. The ledger's replicas are models/consensus.pml's matter:
// here a command counts as applied once a majority has synced it, but for
// RUN_BEFORE_SYNC, where the leader's memory is lost with it.
// broken: NO_CLAIM owners run without a claim
// broken: LOCAL_DEDUPE each owner looks the key up in its own memory only
// broken: NOT_RUN_AFTER_GRANT not run is said while the claim is left as it is
// broken: CLAIM_AFTER_BURN a burn leaves no trace of an attempt without claim
// broken: RUN_BEFORE_SYNC the owner runs before a majority has synced
#define OWNERS 2
#define NOBODY 255

mtype = { idle, claiming, granted, burning, ran, said_not_run, said_unknown };

byte holder = NOBODY;        // attempt that holds the key in the ledger
bool done = false;           // the key's answer is kept
bool burnt[OWNERS];
bool claim_sent[OWNERS];     // in flight; stays so: it may be applied again
bool burn_sent[OWNERS];
mtype answer[OWNERS] = idle; // the ledger's answer to an owner, once it came
bool burn_known[OWNERS];
mtype state[OWNERS] = idle;
bool has_run[OWNERS];
byte runs = 0;
bool lost_leader = false;

// The ledger: applies any command in flight, any number of times.
active proctype Ledger() {
  byte who;
end:
  do
  :: atomic {
       select(who : 0 .. 1);
       if
       :: claim_sent[who] ->
            if
            :: burnt[who] -> answer[who] = said_not_run
            :: !burnt[who] && holder == NOBODY && !done -> holder = who; answer[who] = granted
            :: !burnt[who] && holder == who && !done -> answer[who] = granted
            :: !burnt[who] && (done || (holder != NOBODY && holder != who)) -> answer[who] = said_unknown
            fi
       :: burn_sent[who] ->
#ifndef CLAIM_AFTER_BURN
            burnt[who] = true;
#endif
            if :: holder == who -> holder = NOBODY :: else -> skip fi;
            burn_known[who] = true
       :: claim_sent[who] -> skip   // lost with its answer
       :: else -> skip
       fi;
     }
#ifdef RUN_BEFORE_SYNC
  :: atomic {                      // the leader dies with what only it holds
       !lost_leader -> lost_leader = true;
       holder = NOBODY
     }
#endif
  od
}

proctype Owner(byte me) {
  atomic { claim_sent[me] = true; state[me] = claiming }
#ifdef NO_CLAIM
  goto start_run;
#endif
#ifdef LOCAL_DEDUPE
  if :: !has_run[me] -> goto start_run :: else -> skip fi;
#endif
  if
  :: answer[me] == granted ->
       if
       :: goto start_run
       :: goto give_up               // the deadline passed while claiming
       fi
  :: answer[me] == said_unknown -> state[me] = said_unknown; goto finish
  :: answer[me] == said_not_run -> state[me] = said_not_run; goto finish
  :: goto give_up                    // no answer in time
  :: goto finish                        // the owner dies
  fi;
give_up:
#ifdef NOT_RUN_AFTER_GRANT
  state[me] = said_not_run;          // a resend meets the claim: see resend
  goto late;
#endif
  atomic { burn_sent[me] = true; state[me] = burning }
  if
  :: burn_known[me] -> state[me] = said_not_run; goto late
  :: state[me] = said_unknown; goto finish
  :: goto finish
  fi;
late:
  // A duplicate of the attempt's start, delivered late: the owner has
  // forgotten the attempt and takes only the ledger's word.
  if
  :: goto finish
  :: atomic { answer[me] = idle; claim_sent[me] = true };
     if
     :: answer[me] == granted -> goto start_run
     :: goto finish
     fi
  fi;
start_run:
  atomic {
    runs++;
    has_run[me] = true;
    assert(runs <= 1);
    assert(state[me] != said_not_run);
    state[me] = ran
  }
  if
  :: atomic { holder == me -> done = true }
  :: skip                            // dies, or the finish is lost
  fi;
finish:
  skip
}

init { atomic { run Owner(0); run Owner(1) } }
