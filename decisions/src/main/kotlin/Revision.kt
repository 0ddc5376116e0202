package org.almondjunction.decisions

/** Revision of a process that has received no state; an empty store has revision 0. */
public const val NO_REVISION: Long = -1
