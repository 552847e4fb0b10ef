/** Records of non-idempotent requests and their storage in two places. */
package org.siskintiller.core.idempotency;
