package org.almondjunction.gateway

/** Beginning of one line of an event stream, as far as it tells whether the line is a field. */
internal class EventLine {
    private val name = StringBuilder()

    /** Whether a colon has ended [name], or the line is too long for a name that is known. */
    private var nameEnded = false

    /** Whether the line has no bytes besides carriage returns. */
    val isEmpty: Boolean get() = !nameEnded && name.isEmpty()

    /** Whether the line is one of the fields of an event. */
    var isField: Boolean = false
        private set

    fun add(byte: Byte) {
        if (nameEnded || byte == CARRIAGE_RETURN) return
        if (byte == COLON) {
            nameEnded = true
            isField = name.toString() in FIELDS
        } else {
            name.append(byte.toInt().toChar())
            nameEnded = name.length > MAXIMUM_NAME_CHARACTERS
        }
    }

    fun clear() {
        name.clear()
        nameEnded = false
        isField = false
    }

    private companion object {
        val FIELDS = setOf("data", "event", "id")
        val MAXIMUM_NAME_CHARACTERS = FIELDS.maxOf { it.length }
        const val COLON = ':'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
    }
}
