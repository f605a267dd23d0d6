/** The burst experiment: real agents in one process over paced links, and what to compare with. */
package org.papayawalk.lab.burst;
