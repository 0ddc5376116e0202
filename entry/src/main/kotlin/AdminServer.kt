package org.almondjunction.entry

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.header
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.put
import io.ktor.server.routing.routing
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.almondjunction.common.Metrics
import org.almondjunction.common.TicketNumber
import org.almondjunction.decisions.Ticket
import org.almondjunction.decisions.TicketFault
import org.almondjunction.decisions.TicketOutcome
import java.security.MessageDigest

/** HTTP interface for operators, with metrics and health. */
internal class AdminServer(
    private val settings: EntrySettings,
    private val token: String,
    private val holder: StateHolder,
    private val drain: DrainState,
    private val tickets: TicketService,
    private val statuses: StatusService,
    private val metrics: Metrics,
) {
    private val json = Json { prettyPrint = true }

    fun create(): EmbeddedServer<*, *> = embeddedServer(CIO, host = settings.admin.ip, port = settings.admin.port) { routes() }

    private fun Application.routes() {
        routing {
            get("/metrics") { call.respondText(metrics.export()) }
            get("/healthz") { call.respondText("ok\n") }
            get("/readyz") {
                val ready = holder.view.ready && !drain.stopRequested
                call.respondText(
                    if (ready) "ready\n" else "not ready\n",
                    status = if (ready) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable,
                )
            }
            put("/admin/v1/tickets/{number}") { authorized(call) { submit(call) } }
            get("/admin/v1/tickets/{number}") { authorized(call) { show(call) } }
            get(
                "/admin/v1/status",
            ) { authorized(call) { respond(call, json.encodeToString(ClusterStatus.serializer(), statuses.status())) } }
        }
    }

    private suspend fun authorized(
        call: ApplicationCall,
        block: suspend () -> Unit,
    ) {
        val presented =
            call.request
                .header(HttpHeaders.Authorization)
                ?.removePrefix("Bearer ")
                .orEmpty()
        if (token.isNotEmpty() && MessageDigest.isEqual(presented.encodeToByteArray(), token.encodeToByteArray())) return block()
        call.respondText("A valid token is needed.\n", status = HttpStatusCode.Unauthorized)
    }

    private suspend fun submit(call: ApplicationCall) {
        val outcome =
            try {
                val ticket = Json.decodeFromString<Ticket>(call.receiveText())
                if (ticket.number.value == call.parameters["number"]?.toLongOrNull()) tickets.submit(ticket) else numberMismatch(ticket)
            } catch (exception: SerializationException) {
                TicketOutcome.Invalid(listOf(TicketFault(key = "", message = exception.message.orEmpty())))
            }
        respond(call, json.encodeToString(TicketOutcome.serializer(), outcome), outcome.httpStatus())
    }

    private fun numberMismatch(ticket: Ticket) =
        TicketOutcome.Invalid(listOf(TicketFault("number", "Found ${ticket.number}, which is not the number in the address.")))

    private suspend fun show(call: ApplicationCall) {
        val number = call.parameters["number"]?.toLongOrNull()
        if (number == null) return call.respondText("The number is not a whole number.\n", status = HttpStatusCode.BadRequest)
        respond(call, json.encodeToString(TicketStatus.serializer(), tickets.show(TicketNumber(number))))
    }

    private suspend fun respond(
        call: ApplicationCall,
        body: String,
        status: HttpStatusCode = HttpStatusCode.OK,
    ) = call.respondText(body + "\n", ContentType.Application.Json, status)

    private fun TicketOutcome.httpStatus(): HttpStatusCode =
        when (this) {
            is TicketOutcome.Accepted -> HttpStatusCode.OK
            is TicketOutcome.Superseded, TicketOutcome.NumberTaken -> HttpStatusCode.Conflict
            is TicketOutcome.Invalid -> HttpStatusCode.UnprocessableEntity
            TicketOutcome.NotKnownYet, TicketOutcome.OrderFull -> HttpStatusCode.ServiceUnavailable
        }
}
