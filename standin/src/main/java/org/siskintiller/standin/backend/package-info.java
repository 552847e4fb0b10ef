/** Stand-in for a backend server. */
package org.siskintiller.standin.backend;
