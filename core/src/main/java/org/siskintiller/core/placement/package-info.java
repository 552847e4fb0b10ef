/** Planners that propose assignments of slots to sessions. */
package org.siskintiller.core.placement;
