package org.siskintiller.core.replay;

import java.util.function.BiConsumer;

/** Immutable hash trie. An update copies one path of at most seven nodes. */
public final class PersistentMap<K, V> {
    private static final int BITS = 5;
    private static final int MASK = (1 << BITS) - 1;
    private static final PersistentMap<?, ?> EMPTY = new PersistentMap<>(null, 0);

    private final Object root;
    private final int size;

    private PersistentMap(Object root, int size) {
        this.root = root;
        this.size = size;
    }

    @SuppressWarnings("unchecked")
    public static <K, V> PersistentMap<K, V> empty() {
        return (PersistentMap<K, V>) EMPTY;
    }

    public int size() {
        return size;
    }

    public boolean containsKey(K key) {
        return get(key) != null;
    }

    /** Returns the value of a key, or null. */
    @SuppressWarnings("unchecked")
    public V get(K key) {
        int hash = spread(key);
        Object node = root;
        int shift = 0;
        while (node instanceof Branch) {
            Branch branch = (Branch) node;
            int bit = 1 << ((hash >>> shift) & MASK);
            if ((branch.bitmap & bit) == 0) {
                return null;
            }
            node = branch.children[Integer.bitCount(branch.bitmap & (bit - 1))];
            shift += BITS;
        }
        for (Leaf leaf = (Leaf) node; leaf != null; leaf = leaf.next) {
            if (leaf.key.equals(key)) {
                return (V) leaf.value;
            }
        }
        return null;
    }

    public PersistentMap<K, V> with(K key, V value) {
        boolean exists = containsKey(key);
        return new PersistentMap<>(put(root, spread(key), 0, key, value), exists ? size : size + 1);
    }

    public PersistentMap<K, V> without(K key) {
        if (!containsKey(key)) {
            return this;
        }
        return new PersistentMap<>(remove(root, spread(key), 0, key), size - 1);
    }

    /** Visits all entries. The order depends on the hash codes of the keys only. */
    public void forEach(BiConsumer<? super K, ? super V> action) {
        visit(root, action);
    }

    private static int spread(Object key) {
        int hash = key.hashCode() * 0x9E3779B9;
        return hash ^ (hash >>> 16);
    }

    private static Object put(Object node, int hash, int shift, Object key, Object value) {
        if (node == null) {
            return new Leaf(hash, key, value, null);
        }
        if (node instanceof Leaf) {
            Leaf leaf = (Leaf) node;
            if (leaf.hash == hash) {
                return new Leaf(hash, key, value, removeFromChain(leaf, key));
            }
            return put(branchOf(leaf, shift), hash, shift, key, value);
        }
        Branch branch = (Branch) node;
        int bit = 1 << ((hash >>> shift) & MASK);
        int index = Integer.bitCount(branch.bitmap & (bit - 1));
        if ((branch.bitmap & bit) != 0) {
            Object[] children = branch.children.clone();
            children[index] = put(children[index], hash, shift + BITS, key, value);
            return new Branch(branch.bitmap, children);
        }
        Object[] children = new Object[branch.children.length + 1];
        System.arraycopy(branch.children, 0, children, 0, index);
        children[index] = new Leaf(hash, key, value, null);
        System.arraycopy(branch.children, index, children, index + 1, branch.children.length - index);
        return new Branch(branch.bitmap | bit, children);
    }

    private static Object remove(Object node, int hash, int shift, Object key) {
        if (node instanceof Leaf) {
            return removeFromChain((Leaf) node, key);
        }
        Branch branch = (Branch) node;
        int bit = 1 << ((hash >>> shift) & MASK);
        int index = Integer.bitCount(branch.bitmap & (bit - 1));
        Object child = remove(branch.children[index], hash, shift + BITS, key);
        if (child != null) {
            Object[] children = branch.children.clone();
            children[index] = child;
            return new Branch(branch.bitmap, children);
        }
        if (branch.children.length == 1) {
            return null;
        }
        Object[] children = new Object[branch.children.length - 1];
        System.arraycopy(branch.children, 0, children, 0, index);
        System.arraycopy(branch.children, index + 1, children, index, children.length - index);
        return new Branch(branch.bitmap & ~bit, children);
    }

    private static Branch branchOf(Leaf leaf, int shift) {
        return new Branch(1 << ((leaf.hash >>> shift) & MASK), new Object[] {leaf});
    }

    private static Leaf removeFromChain(Leaf leaf, Object key) {
        if (leaf == null) {
            return null;
        }
        if (leaf.key.equals(key)) {
            return leaf.next;
        }
        return new Leaf(leaf.hash, leaf.key, leaf.value, removeFromChain(leaf.next, key));
    }

    @SuppressWarnings("unchecked")
    private static <K, V> void visit(Object node, BiConsumer<? super K, ? super V> action) {
        if (node instanceof Branch) {
            for (Object child : ((Branch) node).children) {
                visit(child, action);
            }
            return;
        }
        for (Leaf leaf = (Leaf) node; leaf != null; leaf = leaf.next) {
            action.accept((K) leaf.key, (V) leaf.value);
        }
    }

    /** Inner node. The bitmap has a bit set for each of the 32 children that exists. */
    private static final class Branch {
        private final int bitmap;
        private final Object[] children;

        Branch(int bitmap, Object[] children) {
            this.bitmap = bitmap;
            this.children = children;
        }
    }

    /** Entry, linked with the entries of equal hash. */
    private static final class Leaf {
        private final int hash;
        private final Object key;
        private final Object value;
        private final Leaf next;

        Leaf(int hash, Object key, Object value, Leaf next) {
            this.hash = hash;
            this.key = key;
            this.value = value;
            this.next = next;
        }
    }
}
