/**
 * Domain logic and its data types, without threads, sockets or reads of the clock. The present time
 * and random numbers are arguments, so that decisions can be tested and simulated.
 */
package org.papayawalk.core;
