/** Planners that propose assignments. */
package org.siskintiller.core.placement;
