/**
 * Burst experiment: distributes weights to real agents in one process over paced links and compares
 * distribution strategies.
 */
package org.papayawalk.lab.burst;
