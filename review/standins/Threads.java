/** Daemon threads of the stand-ins. */
final class Threads {
    private Threads() {}

    interface Task {
        void run() throws Exception;
    }

    /** Runs the task in a daemon thread. A failed connection ends its thread only. */
    static Thread start(String name, Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (java.io.IOException e) {
                // The other side closed the connection.
            } catch (Exception e) {
                System.err.println(name + ": " + e);
            }
        }, name, 512 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
