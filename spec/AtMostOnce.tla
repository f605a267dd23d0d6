----------------------------- MODULE AtMostOnce -----------------------------
(* The at-most-once protocol for one non-idempotent call with one key.       *)
(* Entries claim the call's row, dispatch under the claim's token, and an    *)
(* agent forwards only after it has moved the row from CLAIMED to STARTED.   *)
(* A write is a message that may be applied late or never; its sender learns *)
(* of it only by reading the row, so every answer counts as lost. Entries    *)
(* and agents pause by doing nothing and may die in every state.             *)
EXTENDS Naturals, FiniteSets

CONSTANTS Entries, Agents, MaxTokens, Variant

ASSUME Variant \in {"good", "forwardsWithoutStart", "saysNotRunWithoutRelease"}

VARIABLES row, writes, entry, agent, requests, refusals, lastToken, ran, notRun, answered

vars == <<row, writes, entry, agent, requests, refusals, lastToken, ran, notRun, answered>>

None == 0
Tokens == 1..MaxTokens
MaxDispatches == 2
Idle == [at |-> "idle", token |-> None, rev |-> 0, left |-> MaxDispatches]

Init ==
    /\ row = [phase |-> "NONE", token |-> None, holder |-> None, rev |-> 0]
    /\ writes = {}
    /\ entry = [e \in Entries |-> Idle]
    /\ agent = [a \in Agents |-> Idle]
    /\ requests = {}
    /\ refusals = {}
    /\ lastToken = 0
    /\ ran = [t \in Tokens |-> 0]
    /\ notRun = {}
    /\ answered = {}

Write(exp, phase, token, holder) ==
    [exp |-> exp, phase |-> phase, token |-> token, holder |-> holder]

(* The table service applies a write if the row has the expected revision.   *)
Apply(w) ==
    /\ w \in writes
    /\ writes' = writes \ {w}
    /\ row' = IF row.rev = w.exp
              THEN [phase |-> w.phase, token |-> w.token, holder |-> w.holder,
                    rev |-> row.rev + 1]
              ELSE row
    /\ UNCHANGED <<entry, agent, requests, refusals, lastToken, ran, notRun, answered>>

(* A request or a write that is lost on the way never arrives. *)
LoseRequest(m) ==
    /\ m \in requests
    /\ requests' = requests \ {m}
    /\ UNCHANGED <<row, writes, entry, agent, refusals, lastToken, ran, notRun, answered>>

(* An entry claims the call. A claim of another entry may be taken over at   *)
(* any time: the grace period of the code only makes that rarer.             *)
Claim(e) ==
    /\ entry[e].at = "idle"
    /\ lastToken < MaxTokens
    /\ row.phase \in {"NONE", "RELEASED", "CLAIMED"}
    /\ lastToken' = lastToken + 1
    /\ writes' = writes \cup {Write(row.rev, "CLAIMED", lastToken + 1, e)}
    /\ entry' = [entry EXCEPT ![e] = [at |-> "claiming", token |-> lastToken + 1,
                                      rev |-> row.rev, left |-> MaxDispatches]]
    /\ UNCHANGED <<row, agent, requests, refusals, ran, notRun, answered>>

Owns(e) == row.token = entry[e].token

ClaimSeen(e) ==
    /\ entry[e].at = "claiming"
    /\ row.phase = "CLAIMED" /\ Owns(e)
    /\ entry' = [entry EXCEPT ![e].at = "claimed"]
    /\ UNCHANGED <<row, writes, agent, requests, refusals, lastToken, ran, notRun, answered>>

(* Nothing was dispatched under the token and nothing will be. *)
ClaimGivenUp(e) ==
    /\ entry[e].at = "claiming"
    /\ notRun' = notRun \cup {entry[e].token}
    /\ entry' = [entry EXCEPT ![e] = Idle]
    /\ UNCHANGED <<row, writes, agent, requests, refusals, lastToken, ran, answered>>

(* A further agent is asked only after the one before has refused. *)
Dispatch(e, a) ==
    /\ entry[e].at = "claimed"
    /\ requests' = requests \cup {[to |-> a, token |-> entry[e].token]}
    /\ entry' = [entry EXCEPT ![e].at = "waiting", ![e].left = @ - 1]
    /\ UNCHANGED <<row, writes, agent, refusals, lastToken, ran, notRun, answered>>

Refused(e) ==
    /\ entry[e].at = "waiting"
    /\ entry[e].token \in refusals
    /\ refusals' = refusals \ {entry[e].token}
    /\ \/ /\ entry[e].left > 0
          /\ entry' = [entry EXCEPT ![e].at = "claimed"]
       \/ entry' = [entry EXCEPT ![e].at = "settling"]
    /\ UNCHANGED <<row, writes, agent, requests, lastToken, ran, notRun, answered>>

(* The agent is lost, or the entry has waited long enough. *)
Lost(e) ==
    /\ entry[e].at = "waiting"
    /\ IF Variant = "saysNotRunWithoutRelease" /\ row.phase = "CLAIMED" /\ Owns(e)
       THEN /\ notRun' = notRun \cup {entry[e].token}
            /\ entry' = [entry EXCEPT ![e] = Idle]
       ELSE /\ entry' = [entry EXCEPT ![e].at = "settling"]
            /\ UNCHANGED notRun
    /\ UNCHANGED <<row, writes, agent, requests, refusals, lastToken, ran, answered>>

Settle(e) ==
    /\ entry[e].at = "settling"
    /\ \/ /\ row.phase = "CLAIMED" /\ Owns(e)
          /\ writes' = writes \cup {Write(row.rev, "RELEASED", entry[e].token, e)}
          /\ entry' = [entry EXCEPT ![e].at = "releasing", ![e].rev = row.rev]
          /\ UNCHANGED <<notRun, answered>>
       \/ /\ row.phase = "ANSWERED"
          /\ answered' = answered \cup {row.token}
          /\ entry' = [entry EXCEPT ![e] = Idle]
          /\ UNCHANGED <<writes, notRun>>
       \/ \* The outcome is unknown, and that is what the caller is told.
          /\ entry' = [entry EXCEPT ![e] = Idle]
          /\ UNCHANGED <<writes, notRun, answered>>
    /\ UNCHANGED <<row, agent, requests, refusals, lastToken, ran>>

ReleaseSeen(e) ==
    /\ entry[e].at = "releasing"
    /\ row.phase = "RELEASED" /\ Owns(e)
    /\ notRun' = notRun \cup {entry[e].token}
    /\ entry' = [entry EXCEPT ![e] = Idle]
    /\ UNCHANGED <<row, writes, agent, requests, refusals, lastToken, ran, answered>>

ReleaseFailed(e) ==
    /\ entry[e].at = "releasing"
    /\ row.rev # entry[e].rev
    /\ ~(row.phase = "RELEASED" /\ Owns(e))
    /\ entry' = [entry EXCEPT ![e].at = "settling"]
    /\ UNCHANGED <<row, writes, agent, requests, refusals, lastToken, ran, notRun, answered>>

(* An agent takes a request and moves the row. *)
Take(a, m) ==
    /\ m \in requests /\ m.to = a
    /\ agent[a].at = "idle"
    /\ requests' = requests \ {m}
    /\ IF row.phase = "CLAIMED" /\ row.token = m.token
       THEN /\ writes' = writes \cup {Write(row.rev, "STARTED", m.token, a)}
            /\ agent' = [agent EXCEPT ![a] =
                   [at |-> IF Variant = "forwardsWithoutStart" THEN "forwarding"
                           ELSE "starting",
                    token |-> m.token, rev |-> row.rev, left |-> 0]]
            /\ UNCHANGED refusals
       ELSE /\ refusals' = refusals \cup {m.token}
            /\ UNCHANGED <<writes, agent>>
    /\ UNCHANGED <<row, entry, lastToken, ran, notRun, answered>>

StartSeen(a) ==
    /\ agent[a].at = "starting"
    /\ row.phase = "STARTED" /\ row.token = agent[a].token /\ row.holder = a
    /\ agent' = [agent EXCEPT ![a].at = "forwarding"]
    /\ UNCHANGED <<row, writes, entry, requests, refusals, lastToken, ran, notRun, answered>>

(* The move failed or cannot be confirmed; the agent will not forward. *)
StartGivenUp(a) ==
    /\ agent[a].at = "starting"
    /\ refusals' = refusals \cup {agent[a].token}
    /\ agent' = [agent EXCEPT ![a] = Idle]
    /\ UNCHANGED <<row, writes, entry, requests, lastToken, ran, notRun, answered>>

Forward(a) ==
    /\ agent[a].at = "forwarding"
    /\ ran' = [ran EXCEPT ![agent[a].token] = @ + 1]
    /\ agent' = [agent EXCEPT ![a].at = "answering", ![a].rev = row.rev]
    /\ UNCHANGED <<row, writes, entry, requests, refusals, lastToken, notRun, answered>>

(* The upstream could not be reached: nothing was forwarded. *)
Unreachable(a) ==
    /\ agent[a].at = "forwarding"
    /\ writes' = writes \cup {Write(row.rev, "RELEASED", agent[a].token, a)}
    /\ refusals' = refusals \cup {agent[a].token}
    /\ agent' = [agent EXCEPT ![a] = Idle]
    /\ UNCHANGED <<row, entry, requests, lastToken, ran, notRun, answered>>

Keep(a) ==
    /\ agent[a].at = "answering"
    /\ writes' = writes \cup {Write(agent[a].rev, "ANSWERED", agent[a].token, a)}
    /\ agent' = [agent EXCEPT ![a] = Idle]
    /\ UNCHANGED <<row, entry, requests, refusals, lastToken, ran, notRun, answered>>

EntryDies(e) ==
    /\ entry[e].at # "idle"
    /\ entry' = [entry EXCEPT ![e] = Idle]
    /\ UNCHANGED <<row, writes, agent, requests, refusals, lastToken, ran, notRun, answered>>

AgentDies(a) ==
    /\ agent[a].at # "idle"
    /\ agent' = [agent EXCEPT ![a] = Idle]
    /\ UNCHANGED <<row, writes, entry, requests, refusals, lastToken, ran, notRun, answered>>

EntryStep(e) ==
    \/ Claim(e) \/ ClaimSeen(e) \/ ClaimGivenUp(e) \/ Refused(e) \/ Lost(e)
    \/ Settle(e) \/ ReleaseSeen(e) \/ ReleaseFailed(e)
    \/ \E a \in Agents : Dispatch(e, a)

AgentStep(a) ==
    \/ StartSeen(a) \/ StartGivenUp(a) \/ Forward(a) \/ Unreachable(a) \/ Keep(a)
    \/ \E m \in requests : Take(a, m)

Next ==
    \/ \E w \in writes : Apply(w)
    \/ \E m \in requests : LoseRequest(m)
    \/ \E e \in Entries : EntryStep(e) \/ EntryDies(e)
    \/ \E a \in Agents : AgentStep(a) \/ AgentDies(a)

Spec == Init /\ [][Next]_vars /\ WF_vars(\E w \in writes : Apply(w))
             /\ \A e \in Entries : WF_vars(EntryStep(e))

RECURSIVE Sum(_, _)
Sum(f, s) == IF s = {} THEN 0
             ELSE LET t == CHOOSE x \in s : TRUE IN f[t] + Sum(f, s \ {t})

(* The call runs at most once, whatever the number of attempts. *)
RunsAtMostOnce == Sum(ran, Tokens) <= 1

(* An attempt whose caller was told "not run" did not run and never will. *)
NotRunIsTrue == \A t \in notRun : ran[t] = 0

(* An answer that was given belongs to a run. *)
AnsweredRan == \A t \in answered : ran[t] = 1

(* A kept answer is never replaced. *)
AnswerStays == [][row.phase = "ANSWERED" => row' = row]_vars

(* Every attempt of an entry ends. *)
AttemptsEnd == \A e \in Entries : entry[e].at # "idle" ~> entry[e].at = "idle"
=============================================================================
