package org.almondjunction.decisions

import kotlin.random.Random

/** Object store in memory. With [random], replies are lost before or after a write took effect. */
class FakeStore(
    private val random: Random? = null,
    private val lossPercent: Int = 0,
) {
    val objects = mutableMapOf<String, StoreReply.Found>()
    private var revision = 0L

    fun call(call: StoreCall): StoreReply {
        if (lose()) return StoreReply.Lost
        val reply = perform(call)
        return if (lose()) StoreReply.Lost else reply
    }

    private fun lose() = random != null && random.nextInt(100) < lossPercent

    private fun perform(call: StoreCall): StoreReply {
        val current = objects[call.key]
        return when (call) {
            is StoreCall.Read -> current ?: StoreReply.Absent
            is StoreCall.Create -> if (current == null) put(call.key, call.value) else StoreReply.Conflict
            is StoreCall.Replace -> if (current?.version == call.version) put(call.key, call.value) else StoreReply.Conflict
        }
    }

    private fun put(
        key: String,
        value: String,
    ): StoreReply {
        revision++
        objects[key] = StoreReply.Found(value, revision)
        return StoreReply.Written(revision)
    }
}
