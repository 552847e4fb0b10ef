/** Admission queue by rank, customer and deadline in front of a backend server. */
package org.siskintiller.core.admission;
