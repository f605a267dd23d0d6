/**
 * Discrete-event simulation of engines, entries and callers that runs the placement and load
 * shedding code of production.
 */
package org.papayawalk.lab.load;
