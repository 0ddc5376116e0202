package org.almondjunction.gateway

import org.almondjunction.decisions.RetrySafety
import java.net.BindException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

class GatewayFixtureTest {
    // Guards against a test run that waits without end for a gateway that could not start, since the error only went to the log.
    @Test
    fun `a start at a port in use throws`(): Unit =
        GatewayFixture().use { fixture ->
            val address = fixture.settings.callerAddress
            ServerSocket(address.port, 1, InetAddress.getByName(address.ip)).use {
                assertFailsWith<BindException> { fixture.start(GatewayFixture.route(RetrySafety.ONCE, streaming = false)) {} }
            }
        }

    @Test
    fun `the ports of a gateway are different`(): Unit =
        GatewayFixture().use { fixture ->
            val ports = listOf(fixture.settings.callerAddress.port, fixture.settings.readinessAddress.port, fixture.settings.keeperPort)
            assertEquals(ports.size, ports.toSet().size)
        }
}
