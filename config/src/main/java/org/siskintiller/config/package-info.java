/** Parsers and writers of companion settings and of the published configuration, both as INI texts. */
package org.siskintiller.config;
