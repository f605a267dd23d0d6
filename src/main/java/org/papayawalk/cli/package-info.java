/**
 * The operators' command line tool: applies and compares sheets, shows hosts, rollouts, the audit
 * trail and outcomes of calls, and drains hosts.
 */
package org.papayawalk.cli;
