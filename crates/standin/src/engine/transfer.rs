//! Export and import of a program's cache memory.

use {
    super::{
        EngineStandin,
        cache::Block,
        cost::{scaled, transfer_time},
    },
    crate::request::{ErrorResponse, ReceivedRequest, error_response, json_response},
    http_types::Response,
    smol::Timer,
    std::collections::BTreeSet,
    trefoilring_core::ids::ProgramId,
};

/// A request body that names a program.
#[derive(serde::Deserialize)]
pub(super) struct ProgramBody {
    pub program: String,
}

/// A program's exported memory. The stand-in transfers only the hashes of prefixes, not key-value
/// data, and waits as long as a transfer of the real data takes.
#[derive(serde::Deserialize, serde::Serialize)]
struct ExportedMemory {
    blocks: Vec<ExportedBlock>,
}

#[derive(serde::Deserialize, serde::Serialize)]
struct ExportedBlock {
    hash: String,
    tokens: u64,
}

impl EngineStandin {
    pub(super) async fn export(
        &self,
        request: &ReceivedRequest,
    ) -> Result<Response, ErrorResponse> {
        let body: ProgramBody = request.json()?;
        let blocks = self.scheduler.state().cache.blocks_of(&body.program);
        if blocks.is_empty() {
            return Err(error_response(404, "no memory is held for the program"));
        }
        self.wait_for_transfer(&blocks).await;
        let exported = blocks.iter().map(|block| ExportedBlock {
            hash: blake3::Hash::from_bytes(block.hash).to_hex().to_string(),
            tokens: block.tokens,
        });
        Ok(json_response(&ExportedMemory { blocks: exported.collect() }))
    }

    pub(super) async fn import(
        &self,
        request: &ReceivedRequest,
    ) -> Result<Response, ErrorResponse> {
        let program = request.query_param("program").filter(|program| !program.is_empty());
        let program: ProgramId =
            program.ok_or_else(|| error_response(400, "program is missing"))?.into();
        let exported: ExportedMemory = request.json()?;
        let blocks: Result<Vec<Block>, ErrorResponse> =
            exported.blocks.into_iter().map(parse_block).collect();
        let blocks = blocks?;
        self.wait_for_transfer(&blocks).await;
        let (mut evicted, now_us) = (BTreeSet::new(), self.scheduler.uptime_us());
        let mut state = self.scheduler.state();
        let has_room = state.cache.import(&blocks, &program, now_us, &mut evicted);
        state.log_evicted(&evicted);
        if !has_room {
            return Err(error_response(503, "no room in the cache"));
        }
        state.log_stored(&program);
        Ok(crate::request::empty_response(204))
    }

    async fn wait_for_transfer(&self, blocks: &[Block]) {
        let tokens = blocks.iter().map(|block| block.tokens).sum();
        Timer::after(scaled(transfer_time(tokens), self.scheduler.time_scale())).await;
    }
}

fn parse_block(block: ExportedBlock) -> Result<Block, ErrorResponse> {
    /// Prevents overflow in sums of tokens.
    const MAX_BLOCK_TOKENS: u64 = 1 << 32;
    let hash = blake3::Hash::from_hex(&block.hash)
        .map_err(|error| error_response(400, format!("hash {}: {error}", block.hash)))?;
    if block.tokens > MAX_BLOCK_TOKENS {
        return Err(error_response(400, format!("tokens {}: too many", block.tokens)));
    }
    Ok(Block { hash: *hash.as_bytes(), tokens: block.tokens })
}
