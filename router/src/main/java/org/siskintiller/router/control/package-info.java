/** Members, lease authority and key tables: drives the decisions of the core with the store and the companions. */
package org.siskintiller.router.control;
