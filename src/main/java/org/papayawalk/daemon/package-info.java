/** The daemon: settings, wiring, administration and the order of start and stop. */
package org.papayawalk.daemon;
