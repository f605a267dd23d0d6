------------------------------ MODULE Adoption ------------------------------
(* How daemons keep copies of one table of the store. A copy takes changes   *)
(* behind the version that it has, or a whole reading, from the store or     *)
(* from another daemon; either may be late or stale, and a daemon may start  *)
(* anew at any time. A daemon that read the table whole does not know which  *)
(* rows were removed before, so it gives an asker that is behind that        *)
(* reading all rows in place of changes.                                     *)
EXTENDS Naturals

CONSTANTS Daemons, Keys, MaxVersion, Variant

ASSUME Variant \in {"good", "takesGaps", "takesOldReadings", "givesChangesAlways"}

VARIABLES hist, now, copy

vars == <<hist, now, copy>>

Versions == 0..MaxVersion
Absent == [ver |-> 0, there |-> FALSE]
Empty == [version |-> 0, from |-> 0, rows |-> [k \in Keys |-> Absent]]

Init ==
    /\ hist = [v \in Versions |-> [k \in Keys |-> Absent]]
    /\ now = 0
    /\ copy = [d \in Daemons |-> Empty]

(* The store writes or removes a row; each transaction is a new version. *)
Write(k, there) ==
    /\ now < MaxVersion
    /\ there \/ hist[now][k].there
    /\ now' = now + 1
    /\ hist' = [v \in Versions |->
                  IF v > now
                  THEN [hist[now] EXCEPT ![k] = [ver |-> now + 1, there |-> there]]
                  ELSE hist[v]]
    /\ UNCHANGED copy

(* A batch holds rows by key; a row that it does not hold is Absent. *)
Changes(rows, after, version) ==
    [after |-> after, version |-> version, whole |-> FALSE,
     rows |-> [k \in Keys |-> IF rows[k].ver > after THEN rows[k] ELSE Absent]]

Whole(rows, version) ==
    [after |-> 0, version |-> version, whole |-> TRUE,
     rows |-> [k \in Keys |-> IF rows[k].there THEN rows[k] ELSE Absent]]

News(c, after) ==
    IF after < c.from /\ Variant # "givesChangesAlways"
    THEN Whole(c.rows, c.version)
    ELSE Changes(c.rows, after, c.version)

Row(known, given, b) ==
    IF given.ver > known.ver THEN given
    ELSE IF b.whole /\ given.ver = 0 /\ known.there /\ known.ver <= b.version
         THEN [ver |-> b.version, there |-> FALSE]
         ELSE known

Taken(c, b) ==
    LET old == b.version < c.version /\ Variant # "takesOldReadings"
        gap == ~b.whole /\ b.after > c.version /\ Variant # "takesGaps"
    IN IF old \/ gap
       THEN c
       ELSE [version |-> b.version,
             from |-> IF b.whole /\ b.version > c.version THEN b.version ELSE c.from,
             rows |-> [k \in Keys |-> Row(c.rows[k], b.rows[k], b)]]

(* Changes of the store after any version up to any later one, however late. *)
ReadChanges(d) ==
    \E after \in 0..now : \E version \in after..now :
        copy' = [copy EXCEPT ![d] = Taken(@, Changes(hist[version], after, version))]

(* A whole reading, as of any moment up to now. *)
ReadWhole(d) ==
    \E version \in 0..now :
        copy' = [copy EXCEPT ![d] = Taken(@, Whole(hist[version], version))]

(* What another daemon answers to a mark that this one had at some time. *)
AskPeer(d, p) ==
    /\ d # p
    /\ copy[p].version > 0
    /\ \E mark \in 0..copy[d].version :
        copy' = [copy EXCEPT ![d] = Taken(@, News(copy[p], mark))]

Restart(d) == copy' = [copy EXCEPT ![d] = Empty]

Next ==
    \/ \E k \in Keys, there \in BOOLEAN : Write(k, there)
    \/ /\ UNCHANGED <<hist, now>>
       /\ \E d \in Daemons :
            \/ ReadChanges(d)
            \/ ReadWhole(d)
            \/ \E p \in Daemons : AskPeer(d, p)
            \/ Restart(d)

Spec == Init /\ [][Next]_vars

(* What a copy holds at its version is what the store held at that version. *)
CopyIsTrue ==
    \A d \in Daemons : \A k \in Keys :
        LET row == copy[d].rows[k]
            truth == hist[copy[d].version][k]
        IN /\ row.there = truth.there
           /\ row.there => row.ver = truth.ver

(* Within one start of a daemon its version never falls. *)
NeverBack ==
    [][\A d \in Daemons : copy'[d] = Empty \/ copy'[d].version >= copy[d].version]_vars
=============================================================================
