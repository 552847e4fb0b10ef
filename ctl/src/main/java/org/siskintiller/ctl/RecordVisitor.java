package org.siskintiller.ctl;

/** Receives each record of the control stream once, in the order of offsets. */
interface RecordVisitor {
    void visit(ReplayedRecord replayed);
}
