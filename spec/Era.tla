---------------------------------- MODULE Era ----------------------------------
(* How daemons follow a table of a store that may be restored from an older  *)
(* copy of itself. A restore begins a new era, loses what was written since  *)
(* the copy, and gives out the lost versions again for other writes. Answers *)
(* of any era may arrive late, and daemons copy from each other while they   *)
(* stand in different eras.                                                  *)
EXTENDS Naturals

CONSTANTS Daemons, Keys, MaxVersion, MaxEra, Variant

ASSUME Variant \in {"good", "comparesNumbersOnly", "takesChangesOfLaterEra"}

VARIABLES hist, era, now, copy, writes

vars == <<hist, era, now, copy, writes>>

Eras == 0..MaxEra
Versions == 0..MaxVersion
Absent == [ver |-> 0, value |-> 0]
Empty == [era |-> 0, version |-> 0, rows |-> [k \in Keys |-> Absent]]

Init ==
    /\ hist = [e \in Eras |-> [v \in Versions |-> [k \in Keys |-> Absent]]]
    /\ era = 0
    /\ now = 0
    /\ writes = 0
    /\ copy = [d \in Daemons |-> Empty]

(* Each write has a value of its own, so that a lost one can be told apart. *)
Write(k) ==
    /\ now < MaxVersion
    /\ now' = now + 1
    /\ writes' = writes + 1
    /\ hist' = [hist EXCEPT ![era] =
                  [v \in Versions |->
                     IF v > now
                     THEN [hist[era][now] EXCEPT ![k] = [ver |-> now + 1, value |-> writes + 1]]
                     ELSE hist[era][v]]]
    /\ UNCHANGED <<era, copy>>

Restore(version) ==
    /\ era < MaxEra
    /\ version < now
    /\ era' = era + 1
    /\ now' = version
    /\ hist' = [hist EXCEPT ![era + 1] =
                  [v \in Versions |-> hist[era][IF v > version THEN version ELSE v]]]
    /\ UNCHANGED <<copy, writes>>

Changes(e, rows, after, version) ==
    [era |-> e, after |-> after, version |-> version, whole |-> FALSE,
     rows |-> [k \in Keys |-> IF rows[k].ver > after THEN rows[k] ELSE Absent]]

Whole(e, rows, version) ==
    [era |-> e, after |-> 0, version |-> version, whole |-> TRUE, rows |-> rows]

Merged(c, b) ==
    [era |-> b.era, version |-> b.version,
     rows |-> [k \in Keys |-> IF b.rows[k].ver > c.rows[k].ver THEN b.rows[k] ELSE c.rows[k]]]

Taken(c, b) ==
    LET later == b.era > c.era /\ Variant # "comparesNumbersOnly"
        earlier == b.era < c.era /\ Variant # "comparesNumbersOnly"
        old == b.version < c.version
        gap == ~b.whole /\ b.after > c.version
    IN IF later
       THEN IF b.whole
            THEN [era |-> b.era, version |-> b.version, rows |-> b.rows]
            ELSE IF Variant = "takesChangesOfLaterEra" THEN Merged(c, b) ELSE c
       ELSE IF earlier \/ old \/ gap THEN c ELSE Merged(c, b)

(* The newest version that the store reached in an era. *)
Reached(e) ==
    IF e = era
    THEN now
    ELSE CHOOSE v \in Versions :
           /\ \A k \in Keys : hist[e][MaxVersion][k].ver <= v
           /\ v = 0 \/ \E k \in Keys : hist[e][MaxVersion][k].ver = v

ReadChanges(d) ==
    \E e \in 0..era : \E version \in 0..Reached(e) : \E after \in 0..version :
        copy' = [copy EXCEPT ![d] = Taken(@, Changes(e, hist[e][version], after, version))]

ReadWhole(d) ==
    \E e \in 0..era : \E version \in 0..Reached(e) :
        copy' = [copy EXCEPT ![d] = Taken(@, Whole(e, hist[e][version], version))]

AskPeer(d, p) ==
    /\ d # p
    /\ copy[p].version > 0
    /\ LET answer ==
             IF copy[p].era = copy[d].era
             THEN Changes(copy[p].era, copy[p].rows, copy[d].version, copy[p].version)
             ELSE Whole(copy[p].era, copy[p].rows, copy[p].version)
       IN copy' = [copy EXCEPT ![d] = Taken(@, answer)]

Next ==
    \/ \E k \in Keys : Write(k)
    \/ \E version \in Versions : Restore(version)
    \/ /\ UNCHANGED <<hist, era, now, writes>>
       /\ \E d \in Daemons :
            \/ ReadChanges(d)
            \/ ReadWhole(d)
            \/ \E p \in Daemons : AskPeer(d, p)

Spec == Init /\ [][Next]_vars

(* What a copy holds is what the store held at that version of that era. *)
CopyIsTrue ==
    \A d \in Daemons :
        copy[d].version > 0 => copy[d].rows = hist[copy[d].era][copy[d].version]

(* No answer, however late, takes a copy back to an earlier era or version. *)
NeverBack ==
    [][\A d \in Daemons :
         \/ copy'[d].era > copy[d].era
         \/ copy'[d].era = copy[d].era /\ copy'[d].version >= copy[d].version]_vars
=============================================================================
