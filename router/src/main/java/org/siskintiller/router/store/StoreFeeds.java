package org.siskintiller.router.store;

import java.util.ArrayList;
import java.util.List;

import io.netty.channel.EventLoop;

/** Feeds of one process. When one of them reaches the store again, the others verify their contact at once. */
public final class StoreFeeds {
    private final RecordStore store;
    private final EventLoop loop;
    private final List<TopicFeed> feeds = new ArrayList<>();

    public StoreFeeds(RecordStore store, EventLoop loop) {
        this.store = store;
        this.loop = loop;
        store.onEra(era -> feeds.forEach(feed -> feed.eraKnown(era)));
    }

    public RecordStore store() {
        return store;
    }

    /** Creates a feed, which does not read until it is started. */
    public TopicFeed create(StoreTopic topic, ReadPace pace, TopicFeed.FeedListener listener) {
        TopicFeed feed = new TopicFeed(store, topic, loop, pace, listener);
        feed.onContactRegained(lostSinceNs -> verifyOthers(feed, lostSinceNs));
        feeds.add(feed);
        return feed;
    }

    private void verifyOthers(TopicFeed regained, long lostSinceNs) {
        for (TopicFeed feed : feeds) {
            if (feed != regained) {
                feed.verifyContact(lostSinceNs);
            }
        }
    }
}
