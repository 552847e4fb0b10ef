/** Members, lease authority and key tables: connects the core to the store and the companions. */
package org.siskintiller.router.control;
