/**
 * The configuration experiment: changes with competing operators and injected faults, and the cost
 * of control traffic.
 */
package org.papayawalk.lab.config;
