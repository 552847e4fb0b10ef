package org.siskintiller.router.store;

/** Topics that retain the newest record of each key. */
public enum StoreTopic {
    /** Written by the operator. */
    OPERATOR,
    /** Written by companions: members, lease authority and key tables. */
    CONTROL
}
