package org.almondjunction.gateway

import kotlinx.coroutines.launch
import org.almondjunction.common.Address
import org.almondjunction.decisions.RetrySafety
import org.almondjunction.keeper.EngineCrash
import org.almondjunction.keeper.KeeperMessage
import org.almondjunction.keeper.MessageChannel
import org.almondjunction.keeper.PromptPart
import org.almondjunction.network.TcpConnection
import org.almondjunction.network.TcpListener
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class KeeperLinkTest {
    private val fixture = GatewayFixture()
    private val first = LinkedBlockingQueue<KeeperMessage>()
    private val crash = EngineCrash(startedMs = 1, ageMs = 0, listOf(PromptPart(part = 7, position = 0)))

    @AfterTest
    fun stop(): Unit = fixture.close()

    /** Records the first message, and ends the connection after a report of [crash]. */
    private suspend fun keeper(connection: TcpConnection) {
        val channel = MessageChannel(connection)
        channel.receive()?.let { first += it }
        channel.send(KeeperMessage.Status(models = emptyList(), crashes = listOf(crash)))
        channel.close()
    }

    // Guards against quarantined parts that are released because a keeper that has just started reports an empty log.
    @Test
    fun `a keeper hears what the gateway knows of its engine's crashes before the greeting`() {
        TcpListener(fixture.loop, Address(GatewayFixture.LOOPBACK, fixture.settings.keeperPort)) { fixture.scope.launch { keeper(it) } }
        val engine = EngineConfiguration(1, 1, weightsMb = 1, adapterSlots = 0, emptyMap())
        fixture.start(GatewayFixture.route(RetrySafety.ONCE, streaming = true), engine, listOf(GatewayFixture.LOOPBACK)) { it.close() }
        assertIs<KeeperMessage.Greeting>(first.poll(TEST_TIMEOUT_S, TimeUnit.SECONDS))
        val restored = assertIs<KeeperMessage.Usage>(first.poll(TEST_TIMEOUT_S, TimeUnit.SECONDS))
        assertEquals(listOf(crash.startedMs to crash.parts), restored.crashes.map { it.startedMs to it.parts })
    }

    private companion object {
        const val TEST_TIMEOUT_S = 30L
    }
}
