/** The operators' command-line tool. */
package org.papayawalk.cli;
