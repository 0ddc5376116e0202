package org.almondjunction.network

import kotlin.concurrent.thread

/** An event loop that runs on a thread of its own until it is closed. */
internal class RunningLoop : AutoCloseable {
    val loop = EventLoop()
    private val loopThread = thread { loop.run() }

    override fun close() {
        loop.stop()
        loopThread.join()
    }
}
