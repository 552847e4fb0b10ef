package org.siskintiller.ctl;

/** Receives the records of the control stream in the order of their offsets, each once. */
interface RecordVisitor {
    void visit(ReplayedRecord replayed);
}
