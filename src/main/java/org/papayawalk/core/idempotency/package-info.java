/**
 * Non-idempotent calls: each runs at most once, its answer is kept, and every caller learns one of
 * three outcomes. The rows live in the platform's table service.
 */
package org.papayawalk.core.idempotency;
