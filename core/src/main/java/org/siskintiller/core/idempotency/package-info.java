/** Records of non-idempotent requests, stored in this companion and as a second copy. */
package org.siskintiller.core.idempotency;
