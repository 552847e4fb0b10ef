/** Interface to the store, and feeds that read its topics continuously. */
package org.siskintiller.router.store;
