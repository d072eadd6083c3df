// Planned stop of an owner. A draining owner refuses requests that it has not
// started, with the outcome "not run", and exits only when no request is
// running. The entry resends refused requests (not modelled).
// Checked: no running request is aborted; no refused request has run; every
// request is completed or refused.
// broken: EXIT_EARLY the owner exits while a request is running
// broken: REFUSE_RUNNING the owner refuses a running request as not run
#define REQUESTS 3

mtype = { waiting, running, done, refused, aborted }
mtype state[REQUESTS] = waiting;
bool ran[REQUESTS];
bool draining = false;
bool exited = false;

inline abort_running(i) {
  i = 0;
  do
  :: i < REQUESTS ->
     if
     :: state[i] == running -> state[i] = aborted
     :: else -> skip
     fi;
     i++
  :: else -> break
  od
}

active proctype Drain() {
  draining = true;
  byte i = 0;
#ifdef REFUSE_RUNNING
  atomic {
    do
    :: i < REQUESTS -> if :: state[i] == running -> state[i] = refused :: else -> skip fi; i++
    :: else -> break
    od
  }
#endif
#ifndef EXIT_EARLY
  (state[0] != running && state[1] != running && state[2] != running);
#endif
  atomic {
    abort_running(i);
    exited = true
  }
}

proctype Request(byte me) {
  if
  :: atomic { !draining && !exited && state[me] == waiting -> state[me] = running; ran[me] = true }
  :: atomic { (draining || exited) && state[me] == waiting -> state[me] = refused }
  fi;
  if
  :: atomic { state[me] == running -> state[me] = done }
  :: state[me] != running -> skip
  fi;
  assert(state[me] != aborted);
  assert(!(state[me] == refused && ran[me]))
}

init {
  byte i = 0;
  atomic {
    do
    :: i < REQUESTS -> run Request(i); i++
    :: else -> break
    od
  }
}
