/** Choice between backend servers for requests without an owner. */
package org.siskintiller.core.balance;
