/** Rows of non-idempotent calls in the table service, for entries and agents. */
package org.papayawalk.daemon.standalone.idempotency;
