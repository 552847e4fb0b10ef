/** Parsing of INI settings and of published configuration. */
package org.siskintiller.config;
