/** Port to the store and the feeds that follow its topics. */
package org.siskintiller.router.store;
