/**
 * Membership of a stand-alone deployment: the platform's host list, which may be stale, joined with
 * the reports that daemons exchange in heartbeats.
 */
package org.papayawalk.core.member;
