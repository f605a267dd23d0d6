/**
 * Access to the rows of non-idempotent calls in the table service. Entries and agents of the
 * stand-alone program use it to run each call at most once.
 */
package org.papayawalk.daemon.standalone.idempotency;
