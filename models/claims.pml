// Requests that run at most once. A caller sends one request with one key
// through two owners concurrently; either may crash at any step. The ledger
// applies commands in one order, but a command may be delayed or applied twice,
// and its answer may be lost. An owner that gets no answer revokes ("burns")
// its attempt before it reports "not run". A revoked attempt is never granted,
// even if its claim arrives later.
// Checked: the key runs at most once; an attempt reported as "not run" never
// runs. The replication of the log is checked by versions.pml: here a command
// is applied only once a majority has synced it, except in RUN_BEFORE_SYNC,
// where the claim is lost when the leader crashes.
// broken: NO_CLAIM owners run without a claim
// broken: LOCAL_DEDUPE each owner looks the key up in its own memory only
// broken: NOT_RUN_AFTER_GRANT "not run" is reported but the claim remains
// broken: CLAIM_AFTER_BURN revoking an attempt without a claim is not recorded
// broken: RUN_BEFORE_SYNC the owner runs before a majority has synced the claim
#define OWNERS 2
#define NOBODY 255

mtype = { idle, claiming, granted, revoking, ran, said_not_run, said_unknown };

byte holder = NOBODY;          // attempt whose claim on the key is recorded
bool done = false;             // the key's result is stored
bool revoked[OWNERS];          // the attempt is revoked
bool claim_sent[OWNERS];       // never reset: a claim may be applied twice
bool revocation_sent[OWNERS];  // never reset: may be applied twice, too
mtype answer[OWNERS] = idle;   // the ledger's answer to an owner's claim
bool revocation_known[OWNERS]; // the owner knows that its attempt is revoked
mtype state[OWNERS] = idle;
bool has_run[OWNERS];
byte runs = 0;
bool lost_leader = false;

// The ledger applies any command in flight, any number of times.
active proctype Ledger() {
  byte who;
end:
  do
  :: atomic {
       select(who : 0 .. 1);
       if
       :: claim_sent[who] ->
            if
            :: revoked[who] -> answer[who] = said_not_run
            :: !revoked[who] && holder == NOBODY && !done -> holder = who; answer[who] = granted
            :: !revoked[who] && holder == who && !done -> answer[who] = granted
            :: !revoked[who] && (done || (holder != NOBODY && holder != who)) -> answer[who] = said_unknown
            fi
       :: revocation_sent[who] ->
#ifndef CLAIM_AFTER_BURN
            revoked[who] = true;
#endif
            if :: holder == who -> holder = NOBODY :: else -> skip fi;
            revocation_known[who] = true
       :: claim_sent[who] -> skip   // the claim or its answer is lost
       :: else -> skip
       fi;
     }
#ifdef RUN_BEFORE_SYNC
  :: atomic {                      // the leader and the unsynced claim are lost
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
  :: goto finish                        // the owner crashes
  fi;
give_up:
#ifdef NOT_RUN_AFTER_GRANT
  state[me] = said_not_run;          // the claim remains granted
  goto late;
#endif
  atomic { revocation_sent[me] = true; state[me] = revoking }
  if
  :: revocation_known[me] -> state[me] = said_not_run; goto late
  :: state[me] = said_unknown; goto finish
  :: goto finish
  fi;
late:
  // A delayed duplicate of the message that starts the attempt. The owner no
  // longer remembers the attempt and relies on the ledger's answer alone.
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
  :: skip                            // the owner crashes or its result is lost
  fi;
finish:
  skip
}

init { atomic { run Owner(0); run Owner(1) } }
