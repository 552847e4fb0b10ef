/** Ranges of numeric keys, their exclusive holders and the planner that assigns and moves them. */
package org.siskintiller.core.keyrange;
