/** Choice of the companions that read the store and pass new records on to the others. */
package org.siskintiller.core.supply;
