------------------------------ MODULE Staging -------------------------------
(* How an agent brings a version of weights into the engine beside it. The   *)
(* agent stages pieces one by one, checks them, and orders the engine to     *)
(* load what is staged. The engine takes an order only in the state that it  *)
(* was decided on, but it loads what is staged at the moment at which it     *)
(* takes the order. The answer may be lost, and a version may be named at    *)
(* any time. A restart of the agent takes longer than an order lives.        *)
EXTENDS Naturals

CONSTANTS Pieces, MaxVersion, MaxRestarts, Variant

ASSUME Variant \in {"good", "stagesMeanwhile", "givesUpEarly"}

VARIABLES wanted, staged, phase, target, checked, seen, order, engine, restarts

vars == <<wanted, staged, phase, target, checked, seen, order, engine, restarts>>

Bad == 0
NoOrder == [version |-> 0, expected |-> 0]
Started == [sequence |-> 0, version |-> 0, pieces |-> [p \in Pieces |-> Bad]]

Init ==
    /\ wanted = 1
    /\ staged = [p \in Pieces |-> Bad]
    /\ phase = "idle"
    /\ target = 0
    /\ checked = {}
    /\ seen = 0
    /\ order = NoOrder
    /\ engine = Started
    /\ restarts = 0

Name ==
    /\ wanted < MaxVersion
    /\ wanted' = wanted + 1
    /\ UNCHANGED <<staged, phase, target, checked, seen, order, engine, restarts>>

Stage(p) ==
    /\ phase = "idle" \/ Variant = "stagesMeanwhile"
    /\ staged[p] # wanted
    /\ staged' = [staged EXCEPT ![p] = wanted]
    /\ UNCHANGED <<wanted, phase, target, checked, seen, order, engine, restarts>>

(* The agent decides on a version, which it believes to be staged. *)
Begin ==
    /\ phase = "idle"
    /\ engine.version < wanted
    /\ phase' = "check"
    /\ target' = wanted
    /\ checked' = {}
    /\ seen' = engine.sequence
    /\ UNCHANGED <<wanted, staged, order, engine, restarts>>

(* A piece that is not as it should be is staged anew. *)
Check(p) ==
    /\ phase = "check"
    /\ p \notin checked
    /\ checked' = checked \union {p}
    /\ staged' = [staged EXCEPT ![p] = target]
    /\ UNCHANGED <<wanted, phase, target, seen, order, engine, restarts>>

Send ==
    /\ phase = "check"
    /\ checked = Pieces
    /\ order = NoOrder
    /\ order' = [version |-> target, expected |-> seen]
    /\ phase' = "sent"
    /\ UNCHANGED <<wanted, staged, target, checked, seen, engine, restarts>>

(* The engine takes or refuses the order; its answer may be lost. *)
Take(answered) ==
    /\ order # NoOrder
    /\ order' = NoOrder
    /\ engine' = IF order.expected = engine.sequence
                 THEN [sequence |-> engine.sequence + 1, version |-> order.version,
                       pieces |-> staged]
                 ELSE engine
    /\ phase' = IF answered /\ phase = "sent" THEN "idle" ELSE phase
    /\ UNCHANGED <<wanted, staged, target, checked, seen, restarts>>

LoseOrder ==
    /\ order # NoOrder
    /\ order' = NoOrder
    /\ UNCHANGED <<wanted, staged, phase, target, checked, seen, engine, restarts>>

(* Without an answer the agent goes on once the order cannot be taken any more. *)
GiveUp ==
    /\ phase = "sent"
    /\ order = NoOrder \/ Variant = "givesUpEarly"
    /\ phase' = "idle"
    /\ UNCHANGED <<wanted, staged, target, checked, seen, order, engine, restarts>>

RestartAgent ==
    /\ restarts < MaxRestarts
    /\ order = NoOrder
    /\ restarts' = restarts + 1
    /\ phase' = "idle"
    /\ UNCHANGED <<wanted, staged, target, checked, seen, order, engine>>

(* What is staged survives; the order under way is lost with its connection. *)
RestartEngine ==
    /\ restarts < MaxRestarts
    /\ restarts' = restarts + 1
    /\ engine' = Started
    /\ order' = NoOrder
    /\ UNCHANGED <<wanted, staged, phase, target, checked, seen>>

(* Staged pieces turn bad, but not right behind the check. *)
Rot(p) ==
    /\ phase = "idle"
    /\ order = NoOrder
    /\ staged' = [staged EXCEPT ![p] = Bad]
    /\ UNCHANGED <<wanted, phase, target, checked, seen, order, engine, restarts>>

Next ==
    \/ Name \/ Begin \/ Send \/ LoseOrder \/ GiveUp \/ RestartAgent \/ RestartEngine
    \/ \E p \in Pieces : Stage(p) \/ Check(p) \/ Rot(p)
    \/ \E answered \in BOOLEAN : Take(answered)

Spec == Init /\ [][Next]_vars

(* The engine never answers with a piece that is spoilt or of another version. *)
LoadedIsWhole ==
    engine.version > 0 => \A p \in Pieces : engine.pieces[p] = engine.version

(* Within one start of the engine its version never falls. *)
VersionNeverBack ==
    [][engine' = Started \/ engine'.version >= engine.version]_vars
=============================================================================
